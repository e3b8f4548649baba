#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_WAITQUEUE_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_WAITQUEUE_H

#include "libbergamotbase/accountscheduler.h"
#include "libbergamotbase/timetypes.h"
#include "libbergamotgateway/ratewindow.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::gateway {

using base::TimePoint;

/// A request that waits for a free slot at a target of its service.
struct WaitingRequest {
  /// Identifies the request within this entry.
  std::uint64_t SequenceNumber = 0;
  /// 0 is the highest priority.
  std::uint32_t Priority = 0;
  TimePoint ArrivedAt;
  /// A request sent after this time can't meet its latency objective.
  TimePoint OnTimeUntil;
  /// Latest time at which the request can be sent so that its response begins
  /// before the caller disconnects.
  TimePoint ExpiresAt;
  /// The request has been sent to a target before, or its response has already
  /// started. It goes by priority and arrival only.
  bool WasSentBefore = false;
  /// The client account. Requests without one are handled as those of a single
  /// account.
  std::string Account;
};

/// Which rules apply to the queue of a service. With the defaults the order is
/// by priority and then by arrival, and all on-time requests count as ahead of
/// a new one.
struct WaitSettings {
  /// Only requests of the same or a higher priority count as ahead of a new
  /// one, and each priority gets a minimum share of the sends.
  bool CountsByPriority = false;
  /// On-time requests of the same priority are sent in turn by account, each
  /// with the same weight, and only those whose turn is earlier count as ahead
  /// of a new one.
  bool FairAccounts = false;

  bool operator==(const WaitSettings &) const = default;
};

/// The waiting requests of one service at this entry. Requests that can still
/// be served on time come before late ones; each class is ordered by priority
/// and then by arrival. After a power loss or a burst there are more
/// requests than slots, and in strict order of arrival the backlog would make
/// all later requests late, too.
///
/// If requests count by priority, the order among on-time requests has one
/// exception: a priority that was served less than a quarter as often as all
/// requests in the last second, relative to its arrivals, is sent first. If
/// accounts are served in turn, requests that were sent before come first
/// within their priority, by arrival.
class WaitQueue {
public:
  /// Requests that are waiting stay in the queue under the new rules.
  void setSettings(const WaitSettings &settings);
  const WaitSettings &settings() const { return Settings; }
  /// Counts the arrival of a request that wasn't sent before, whether it is
  /// queued or rejected.
  void recordArrival(std::uint32_t priority, TimePoint now);
  /// Adds a request; it is late from the start if its OnTimeUntil has passed.
  void add(const WaitingRequest &request, TimePoint now);
  void remove(std::uint64_t sequenceNumber);
  /// Removes a request because it is sent to a target.
  void removeSent(std::uint64_t sequenceNumber, TimePoint now);
  /// Returns the next request to send, or null if the queue is empty.
  const WaitingRequest *next();
  /// Moves requests that have become late behind the on-time ones and returns
  /// copies of them; they stay queued.
  std::vector<WaitingRequest> demoteLate(TimePoint now);
  /// Removes and returns the requests that have passed their ExpiresAt.
  std::vector<WaitingRequest> takeExpired(TimePoint now);
  /// Returns the number of on-time requests by priority.
  std::map<std::uint32_t, std::uint32_t> onTimeCounts() const;
  std::size_t size() const { return Waiting.size(); }
  std::size_t lateCount() const { return LateCount; }
  std::size_t onTimeCount() const { return Waiting.size() - LateCount; }
  bool isEmpty() const { return Waiting.empty(); }
  /// Returns the number of waiting on-time requests that count as ahead of a
  /// request that isn't queued yet. Unset if all waiting requests count: by the
  /// settings, or because the request is late or was sent before.
  std::optional<std::size_t> onTimeAhead(const WaitingRequest &request,
                                         TimePoint now) const;
  /// Returns how many requests more urgent than one of a priority have arrived
  /// in the last second. 0 if requests don't count by priority, if the request
  /// was sent before, or if its priority is short of its minimum share.
  std::size_t moreUrgentArrivals(std::uint32_t priority,
                                 bool wasSentBefore) const;
  /// Returns the on-time requests in the order in which they will be sent, as
  /// far as the requests that are waiting and the current counts of sends
  /// determine it. The pointers are valid until the queue changes.
  std::vector<const WaitingRequest *> expectedOrder() const;

private:
  struct OrderKey {
    bool IsLate;
    std::uint32_t Priority;
    /// The account's turn decides when the request is sent.
    bool TakesTurn;
    TimePoint ArrivedAt;
    std::uint64_t SequenceNumber;
    auto operator<=>(const OrderKey &) const = default;
  };

  /// A request in the turns of its account. All cost the same.
  struct Turn {
    std::uint64_t SequenceNumber = 0;
    double Cost = 1;
  };
  using Turns = base::AccountScheduler<Turn>;

  struct Place {
    OrderKey Key;
    /// Valid if the key takes a turn.
    Turns::Position Turn;
  };

  /// The on-time requests of one priority, and its arrivals and sends in the
  /// last second.
  struct Level {
    std::size_t OnTimeWaiting = 0;
    RateWindow Arrived;
    RateWindow Sent;
    Turns AccountTurns{1, base::ServedAccounts::KeptUntilRoundEnds};
  };

  void insert(const WaitingRequest &request, bool isLate);
  /// Removes a request; if it was sent, its account is charged for the turn.
  void erase(std::uint64_t sequenceNumber, bool wasSent);

  /// Returns how many sends the priority is short of its minimum share.
  std::size_t dueSends(const Level &level) const;
  /// Returns the first on-time request of a priority that has one.
  const WaitingRequest *firstOnTime(std::uint32_t priority);
  /// Returns the number of on-time requests of the priority that are sent
  /// before a new one of an account.
  std::size_t aheadInLevel(const Level &level,
                           const std::string &account) const;
  void expireCounts(TimePoint now);

  WaitSettings Settings;
  std::map<OrderKey, WaitingRequest> Waiting;
  std::map<std::uint64_t, Place> BySequenceNumber;
  std::map<std::uint32_t, Level> Levels;
  std::size_t LateCount = 0;
};

} // namespace bergamot::gateway

#endif
