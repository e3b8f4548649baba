#ifndef BERGAMOT_ADAPTERTCP_UNREADDATAPOLICY_H
#define BERGAMOT_ADAPTERTCP_UNREADDATAPOLICY_H

#include "adaptertcp/sendstate.h"
#include "libbergamotbase/timetypes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bergamot::adaptertcp {

/// Time after which a server is unreachable if nothing has been heard of it
/// while it had unread data. It exceeds the longest retransmission delay caused
/// by 3% packet loss on these links. Data without a deadline may remain unread
/// for the same time.
constexpr std::chrono::milliseconds UnansweredTimeout{5000};
/// Time for a server to accept a connection before it counts as unreachable. A
/// lost SYN packet is retransmitted after a second.
constexpr std::chrono::milliseconds ProbeTimeout{2000};

/// Which side has opened a connection.
enum class ConnectionOrigin {
  /// The peer, which is a client.
  Accepted,
  /// This process; the peer is a server, whose address can be probed.
  Opened,
};

/// Why a connection with unread data is given up.
enum class GiveUpReason {
  /// The server neither reads nor accepts connections.
  Unreachable,
  /// The peer hasn't read by the deadline.
  Unread,
  /// All unread data together takes too much memory.
  Memory,
};

/// Returns the name of a reason in logs.
const char *giveUpReasonName(GiveUpReason reason);

/// Decides how long a connection is kept whose peer doesn't read what it is
/// sent. A peer may leave data unread until the data's deadline, and is kept
/// past the deadline for as long as it goes on reading. A server of which
/// nothing is heard has to be probed meanwhile, and is given up if it doesn't
/// answer for UnansweredTimeout in all.
///
/// The kernel's counters can't tell a peer that pauses from one behind a
/// partition, as a full receiver may drop data without an acknowledgement. So
/// nothing is given up for lack of acknowledgements, and data counts as unread
/// if the system doesn't tell. The caller provides the time.
class UnreadDataPolicy {
public:
  explicit UnreadDataPolicy(ConnectionOrigin origin) : Origin(origin) {}

  /// Records that data is queued on a connection that had none. Data without a
  /// deadline in the future gets one after UnansweredTimeout. `state` is from
  /// before.
  void dataQueued(const SendState &state, base::TimePoint now);
  /// Sets until when the peer may leave the data unread that is sent from now
  /// on; a deadline that has passed gives it UnansweredTimeout. With
  /// `hasUnreadData`, the later of this deadline and the former one is in
  /// force.
  void setReadDeadline(base::TimePoint deadline, base::TimePoint now,
                       bool hasUnreadData);

  /// Returns whether the peer may not have read all that it was sent. Where the
  /// system doesn't tell, data that the kernel has accepted counts as unread
  /// until the deadline.
  bool mayBeUnread(const SendState &state, base::TimePoint now) const;

  /// Checks the connection; to be called at CheckPeriod while data may be
  /// unread. Returns why to give the connection up; nullopt if it is to be
  /// kept.
  std::optional<GiveUpReason> check(const SendState &state,
                                    base::TimePoint now);

  /// Returns whether the peer is a server of which nothing has been heard for
  /// so long that it has to be probed.
  bool needsProbe(base::TimePoint now) const;
  /// Records that the server has answered a probe.
  void recordProbeAnswer(base::TimePoint now) { SilentSince = now; }
  /// Returns whether a server is unreachable that hasn't answered a probe
  /// within ProbeTimeout; to be called after check().
  bool isUnreachable(base::TimePoint probedAt) const;

  /// Returns for how long data may remain unacknowledged before the kernel ends
  /// the connection (TCP_USER_TIMEOUT). The kernel counts from when data was
  /// queued or later, and goes on after the end of this process, so that the
  /// time never ends before the deadline.
  std::chrono::milliseconds kernelTimeout(base::TimePoint now) const;

  /// Returns whether the peer hasn't been seen to read for UnansweredTimeout.
  bool isStalled(base::TimePoint now) const {
    return now - ProgressAt >= UnansweredTimeout;
  }

  /// Interval of the checks.
  static constexpr std::chrono::milliseconds CheckPeriod{1000};

private:
  bool hasProgressed(const SendState &state) const;

  ConnectionOrigin Origin;
  base::TimePoint ReadDeadline;
  /// Since when there has been unread data.
  base::TimePoint QueuedAt;
  /// When the peer was last seen to have read.
  base::TimePoint ProgressAt;
  /// Since when nothing has been heard of the peer.
  base::TimePoint SilentSince;
  /// When the connection was last checked, and its state then.
  base::TimePoint CheckedAt;
  SendState Checked;
  /// Bytes that the peer is known to have acknowledged.
  std::uint64_t AcknowledgedBytes = 0;
};

/// Unread data of one connection.
struct UnreadData {
  std::size_t Bytes = 0;
  /// The peer hasn't been seen to read for UnansweredTimeout.
  bool Stalled = false;
  /// The peer may have read it: the system doesn't tell.
  bool Uncertain = false;
};

/// Returns the indices of the connections to give up so that all unread data
/// together takes at most `maxBytes`: of those that are stalled, first those
/// whose data is certainly unread, and the largest first. Others are kept even
/// if the rest takes more.
std::vector<std::size_t>
connectionsToGiveUp(const std::vector<UnreadData> &connections,
                    std::size_t maxBytes);

} // namespace bergamot::adaptertcp

#endif
