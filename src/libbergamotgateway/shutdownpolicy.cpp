#include "libbergamotgateway/shutdownpolicy.h"

#include <algorithm>

namespace bergamot::gateway {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

/// After SIGTERM, the platform needs up to two readiness probes, one second
/// apart, before it sends new connections elsewhere. A connection that was
/// opened just before may still be on its way.
constexpr milliseconds ReadinessPropagationTime{3200};
/// A request that is sent more than three seconds after SIGTERM must not be
/// cut, however long it takes. The other half second is for its way to this
/// process.
constexpr milliseconds ExpectationTime{2500};
/// The process ends this long before SIGKILL, even with requests in progress,
/// but works for at least the part of the grace period that its callers can
/// rely on, five sixths.
constexpr milliseconds MaxExitMargin{500};
constexpr int MinGraceParts = 8;

} // namespace

ShutdownPolicy::ShutdownPolicy(TimePoint requestedAt, Duration gracePeriod)
    : ExpectationUntil(requestedAt + ExpectationTime),
      RedirectedAt(requestedAt + ReadinessPropagationTime),
      EndsAt(requestedAt + gracePeriod -
             std::min<Duration>(MaxExitMargin, gracePeriod / MinGraceParts)) {}

bool ShutdownPolicy::takesRequest(TimePoint now, TimePoint deadline,
                                  TimePoint expectedEnd) const {
  if (deadline <= EndsAt)
    return true;
  return now < ExpectationUntil && expectedEnd <= EndsAt;
}

} // namespace bergamot::gateway
