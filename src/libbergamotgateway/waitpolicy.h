#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_WAITPOLICY_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_WAITPOLICY_H

#include "libbergamotgateway/routetable.h"

#include <cstddef>

namespace bergamot::gateway {

using base::Duration;
using base::TimePoint;

/// The times of a request that determine how long it may wait.
struct RequestTimes {
  TimePoint ArrivedAt;
  /// When a response is due at the latest.
  TimePoint Deadline;
  /// The request resumes a stream of which the caller has already received a
  /// part. It is late in any case, and its caller seldom retries once more.
  bool ContinuesStream = false;
};

/// Until when it is worth sending a request to a target.
struct WaitLimits {
  /// After this time, the request can't meet its latency objective.
  TimePoint OnTimeUntil;
  /// After this time, the caller disconnects before the response begins.
  TimePoint ExpiresAt;
};

WaitLimits waitLimits(const Route &route, const RequestTimes &times);

/// The queue of a service at this entry, and how fast it drains.
struct QueueState {
  std::size_t OnTimeWaiting = 0;
  std::size_t LateWaiting = 0;
  /// Requests sent to targets, and on-time requests that arrived, in the last
  /// second.
  std::size_t Dispatched = 0;
  std::size_t Arrived = 0;
  /// All targets of the service are stalled.
  bool Stalled = false;
  /// This entry's share of the slots at the service's targets.
  std::size_t SlotShare = 0;
};

/// Returns whether a request that arrives should be queued. Two situations
/// determine the rules:
/// - After a power loss all targets are stalled for about two seconds. As many
///   requests may wait as there are slots; half of these are reserved for
///   callers whose streams were interrupted.
/// - In a burst of twice the capacity, requests that can't be served are
///   rejected at once, so that the queue stays short and the requests in it
///   stay on time.
bool shouldEnqueue(const WaitLimits &limits, const RequestTimes &times,
                   const QueueState &state, TimePoint now);

/// Returns whether a late request that `state` already counts should stay in
/// the queue: the capacity not needed by on-time requests can serve it before
/// its caller disconnects.
bool shouldStayQueued(const WaitLimits &limits, const QueueState &state,
                      TimePoint now);

/// Returns the number of requests at a target, with the given limit, up to
/// which late requests are sent there. A backlog of late requests that filled
/// all slots would make each following request wait and become late, too.
std::uint32_t lateRequestLimit(std::uint32_t limit);

/// Returns the Retry-After delay for a rejected caller. `timeLeft` is the time
/// until the caller's deadline; callers follow a delay of up to a third of it.
/// `draw` in [0, 1) spreads callers that are rejected at the same time. The
/// delay lasts at least until the present queue has been served and until the
/// first target ends its back-off, in `backoffLeft`, but no longer than callers
/// follow it.
Duration retryAfterDelay(Duration timeLeft, const QueueState &state,
                         Duration backoffLeft, double draw);

} // namespace bergamot::gateway

#endif
