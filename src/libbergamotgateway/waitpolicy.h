#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_WAITPOLICY_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_WAITPOLICY_H

#include "libbergamotgateway/routetable.h"
#include "libbergamotgateway/waitqueue.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace bergamot::gateway {

using base::Duration;
using base::TimePoint;

/// The times of a request that determine how long it may wait.
struct RequestTimes {
  TimePoint ArrivedAt;
  /// When a response is due at the latest.
  TimePoint Deadline;
  /// The request resumes a stream of which the caller has already received a
  /// part. It has missed its latency objective already. It is itself a retry by
  /// the caller, and callers seldom retry again.
  bool ContinuesStream = false;
};

/// The times after which sending a request to a target is too late.
struct WaitLimits {
  /// A request sent after this time can't meet its latency objective.
  TimePoint OnTimeUntil;
  /// Latest time at which the request can be sent so that its response begins
  /// before the caller disconnects.
  TimePoint ExpiresAt;
};

WaitLimits waitLimits(const Route &route, const RequestTimes &times);

/// The queue of a service at this entry, and how fast it drains.
struct QueueState {
  std::size_t OnTimeWaiting = 0;
  std::size_t LateWaiting = 0;
  /// All requests sent to targets in the last second, whether on time or late.
  std::size_t Dispatched = 0;
  /// Requests that were on time when they arrived in the last second.
  std::size_t OnTimeArrived = 0;
  /// All targets of the service are stalled.
  bool Stalled = false;
  /// This entry's share of the slots at the service's targets.
  std::size_t SlotsOfThisEntry = 0;
  /// Requests per second that this entry may send, if every target of the
  /// service limits them; unset if one doesn't.
  std::optional<double> MaxRate;
  /// Time until a target takes a request at all: all of them have asked for a
  /// back-off or have used up their request rate.
  Duration NextSendIn{0};
  /// The waiting on-time requests that count as ahead of the request in
  /// question (`WaitQueue::onTimeAhead`). If unset, all waiting requests do.
  std::optional<std::size_t> OnTimeAhead;
};

/// Returns whether a request should be queued when it arrives. Two situations
/// determine the rules:
/// - After a power loss all targets are stalled for about two seconds. As many
///   requests may wait as there are slots; half of these are reserved for
///   callers whose streams were interrupted.
/// - In a burst of twice the capacity, requests that can't be served are
///   rejected at once, so that the queue stays short and the requests in it
///   stay on time.
/// If all targets limit the rate of requests, a request is queued if its turn
/// comes before its caller disconnects.
bool shouldEnqueue(const WaitLimits &limits, const RequestTimes &times,
                   const QueueState &state, TimePoint now);

/// Removes and returns the requests that have been pushed back by others so far
/// that they can't be sent while on time, the least urgent and latest first.
/// They are rejected at once, so that their callers can retry in time. Load: a
/// burst of the least urgent requests has filled the queue, then urgent ones
/// arrive. If requests count by priority, those below the most urgent priority
/// that is waiting may be removed; if accounts are served in turn, those of an
/// account that has an earlier one waiting. Requests that were sent before
/// always stay.
std::vector<WaitingRequest>
takeUnservable(WaitQueue &queue, const QueueState &state, TimePoint now);

/// Returns whether a late request, which is in the queue and counted in
/// `state`, should stay there, because the capacity not needed by on-time
/// requests can serve it before its caller disconnects.
bool shouldStayQueued(const WaitLimits &limits, const QueueState &state,
                      TimePoint now);

/// Sets the number of requests sent in the last second to the number that the
/// share of the slots serves in a second, if that is higher and the service
/// hasn't been served for a whole second yet. Load: all entries have restarted,
/// or a stall has ended, and requests are rejected because few were sent
/// before.
void addExpectedDispatches(QueueState &state, Duration servedFor,
                           Duration streamTime);

/// Returns how many late requests per second this entry may send, so that the
/// requests that arrive on time find free slots: its share of the slots serves
/// a number of requests per second, and as many as arrive on time are reserved.
/// Load: a power loss ends, and a second's worth of late requests waits.
/// `streamTime` is how long a request occupies a slot.
double lateRequestRate(const QueueState &state, Duration streamTime);

/// Returns the number of requests at a target from which on no late requests
/// are sent to it. `limit` is the maximum number of requests at the target. A
/// backlog of late requests that filled all slots would make each following
/// request wait and become late, too.
std::uint32_t lateRequestLimit(std::uint32_t limit);

/// Returns the Retry-After delay for a rejected caller. `timeLeft` is the time
/// until the caller's deadline; callers ignore a Retry-After longer than a
/// third of it. `draw` in [0, 1) spreads the retries of callers that are
/// rejected at the same time. The delay lasts at least until the current queue
/// has been served, as far as it counts as ahead of the request, and a target
/// takes requests, but is capped so that callers don't ignore it.
Duration retryAfterDelay(Duration timeLeft, const QueueState &state,
                         double draw);

} // namespace bergamot::gateway

#endif
