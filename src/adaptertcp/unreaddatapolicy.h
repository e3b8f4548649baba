#ifndef BERGAMOT_ADAPTERTCP_UNREADDATAPOLICY_H
#define BERGAMOT_ADAPTERTCP_UNREADDATAPOLICY_H

#include "adaptertcp/sendstate.h"
#include "libbergamotbase/timetypes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bergamot::adaptertcp {

/// Time after which a peer is unreachable if it acknowledges nothing of what
/// was sent to it. It exceeds the longest retransmission delay caused by 3%
/// packet loss on these links. Data without a deadline may remain unread for
/// the same time.
constexpr std::chrono::milliseconds UnansweredTimeout{5000};

/// Why a connection with unread data is given up.
enum class GiveUpReason {
  /// The peer doesn't answer probes of its receive window.
  Unreachable,
  /// The peer is reachable, but hasn't read by the deadline.
  Unread,
  /// All unread data together takes too much memory.
  Memory,
};

/// Returns the name of a reason in logs.
const char *giveUpReasonName(GiveUpReason reason);

/// Decides how long a connection is kept whose peer doesn't read what it is
/// sent. A peer that doesn't answer is given up after UnansweredTimeout: by the
/// kernel if data is in flight (TCP_USER_TIMEOUT), otherwise by this policy if
/// probes of its receive window remain unanswered. A peer that answers, but
/// whose window is closed, may read until the deadline of the data. Past the
/// deadline it is kept for as long as it goes on reading. The caller provides
/// the time.
class UnreadDataPolicy {
public:
  /// Records that data is queued on a connection that had none. Data without a
  /// deadline in the future gets one after UnansweredTimeout.
  void dataQueued(base::TimePoint now);
  /// Sets until when the peer may leave the data unread that is sent from now
  /// on; a deadline that has passed gives it UnansweredTimeout. With
  /// `hasUnreadData`, the later of this deadline and the former one is in
  /// force.
  void setReadDeadline(base::TimePoint deadline, base::TimePoint now,
                       bool hasUnreadData);

  /// Checks the connection; to be called at CheckPeriod while it has unread
  /// data. `state.QueuedBytes` is greater than 0. Returns why to give the
  /// connection up; nullopt if it is to be kept.
  std::optional<GiveUpReason> check(const SendState &state,
                                    base::TimePoint now);

  /// Returns for how long data may remain unacknowledged before the kernel ends
  /// the connection (TCP_USER_TIMEOUT). It counts from when the peer's window
  /// closed or its acknowledgements ceased.
  std::chrono::milliseconds kernelTimeout() const;

  /// Returns whether the peer has read nothing for UnansweredTimeout.
  bool isStalled(base::TimePoint now) const {
    return now - ProgressAt >= UnansweredTimeout;
  }

  /// Interval of the checks.
  static constexpr std::chrono::milliseconds CheckPeriod{1000};

private:
  base::TimePoint ReadDeadline;
  /// When the peer was last seen to have acknowledged further bytes.
  base::TimePoint ProgressAt;
  /// When the connection was last checked.
  base::TimePoint CheckedAt;
  std::uint64_t AcknowledgedBytes = 0;
  /// Since when window probes remain unanswered.
  std::optional<base::TimePoint> UnansweredSince;
  /// At the last check, the peer was reachable and hadn't read since the one
  /// before.
  bool WindowClosed = false;
};

/// Unread data of one connection.
struct UnreadData {
  std::size_t Bytes = 0;
  /// The peer has read nothing for UnansweredTimeout.
  bool Stalled = false;
};

/// Returns the indices of the connections to give up so that all unread data
/// together takes at most `maxBytes`: of those that are stalled, the largest
/// first. Others are kept even if the rest takes more.
std::vector<std::size_t>
connectionsToGiveUp(const std::vector<UnreadData> &connections,
                    std::size_t maxBytes);

} // namespace bergamot::adaptertcp

#endif
