#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_SHUTDOWNPOLICY_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_SHUTDOWNPOLICY_H

#include "libbergamotbase/timetypes.h"

namespace bergamot::gateway {

/// Decides during a graceful shutdown which requests an entry still takes, and
/// when it ends. A request that is taken must not be cut: it is taken if it is
/// due before the process ends. While callers may not yet be directed to other
/// entries, it is also taken if responses like its own are usually complete by
/// then.
class ShutdownPolicy {
public:
  /// The process is killed `gracePeriod` after the shutdown was requested.
  ShutdownPolicy(base::TimePoint requestedAt, base::Duration gracePeriod);

  /// Returns whether to take a request that arrives now. The response is due at
  /// `deadline` and usually complete at `expectedEnd`.
  bool takesRequest(base::TimePoint now, base::TimePoint deadline,
                    base::TimePoint expectedEnd) const;
  /// Returns whether connections without a request are to be closed, as callers
  /// are directed to other entries.
  bool closesIdleConnections(base::TimePoint now) const {
    return now >= RedirectedAt;
  }
  /// Returns whether the process ends. `drained` says that it has nothing left
  /// to do for its callers.
  bool isOver(base::TimePoint now, bool drained) const {
    return now >= EndsAt || (drained && closesIdleConnections(now));
  }

private:
  /// Until then a request may be taken by its expected end.
  base::TimePoint ExpectationUntil;
  /// The platform opens no further connections to this entry from then on.
  base::TimePoint RedirectedAt;
  base::TimePoint EndsAt;
};

} // namespace bergamot::gateway

#endif
