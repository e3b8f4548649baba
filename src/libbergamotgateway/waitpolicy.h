#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_WAITPOLICY_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_WAITPOLICY_H

#include "libbergamotgateway/routetable.h"

#include <cstddef>

namespace bergamot::gateway {

using base::Duration;
using base::TimePoint;

/// The times of one request that its wait depends on.
struct RequestTimes {
  TimePoint ArrivedAt;
  /// When it has to be answered at the latest.
  TimePoint Deadline;
  /// Its caller has received a part of the stream, which broke off. Such a
  /// request is late in any case, and its caller seldom comes once more.
  bool ContinuesStream = false;
};

/// Until when a request may be sent to a target.
struct WaitLimits {
  /// Later, it can't be served within its latency objective.
  TimePoint OnTimeUntil;
  /// Later, its caller has left before the response begins.
  TimePoint ExpiresAt;
};

WaitLimits waitLimits(const Route &route, const RequestTimes &times);

/// What waits for a service at this entry, and how fast that goes down.
struct QueueState {
  std::size_t OnTimeWaiting = 0;
  std::size_t LateWaiting = 0;
  /// Requests sent to targets, and requests in time that came, in the last
  /// second.
  std::size_t Dispatched = 0;
  std::size_t Arrived = 0;
  /// All targets of the service stand still.
  bool Stalled = false;
  /// This entry's part of the places at the service's targets.
  std::size_t SlotShare = 0;
};

/// Returns whether a request that arrives should wait. Load patterns:
/// - A power loss: all targets stand still for some two seconds. As many
///   requests wait as there are places; half of them are kept for callers whose
///   streams broke off.
/// - A burst to twice the capacity: those who can't be served are rejected at
///   once, so that those who wait are few and still in time.
bool shouldEnqueue(const WaitLimits &limits, const RequestTimes &times,
                   const QueueState &state, TimePoint now);

/// Returns whether a late request that is already among `load`'s late ones
/// should wait on: what the requests in time leave over serves it before its
/// caller leaves.
bool shouldStayQueued(const WaitLimits &limits, const QueueState &state,
                      TimePoint now);

/// Returns how many requests a target with this limit may have for a late one
/// to be sent there. Load pattern: a backlog of late requests that fills all
/// places makes each request that follows wait, and so late, too.
std::uint32_t lateRequestLimit(std::uint32_t limit);

/// Returns after which time a rejected caller should come back. `left` is the
/// time that it has; callers follow the advice up to a third of that. `draw` in
/// [0, 1) spreads those that are rejected together. The advice is not before
/// what waits now has been served, nor before the first target wants requests
/// again, in `restLeft`.
Duration retryAfterDelay(Duration timeLeft, const QueueState &state,
                         Duration backoffLeft, double draw);

} // namespace bergamot::gateway

#endif
