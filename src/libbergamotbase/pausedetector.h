#ifndef BERGAMOT_LIBBERGAMOTBASE_PAUSEDETECTOR_H
#define BERGAMOT_LIBBERGAMOTBASE_PAUSEDETECTOR_H

#include "libbergamotbase/timetypes.h"

namespace bergamot::base {

/// A period in which the process was not running.
struct Pause {
  Duration Length{0};
  /// The part in which the VM was suspended and the monotonic clock stopped.
  /// Deadlines set before the pause expire late by this much.
  Duration Suspended{0};
};

/// Returns the time since the VM booted, including time in suspension, or 0 if
/// the system has no such clock.
Duration timeSinceBoot();

/// Detects pauses of the process; the owner calls check() at short intervals.
/// State and leases acquired before a pause may be stale or expired after it.
class PauseDetector {
public:
  PauseDetector(TimePoint now, Duration sinceBoot)
      : LastCheck(now), LastSinceBoot(sinceBoot) {}

  /// Returns the pause since the previous check; its length is 0 if there was
  /// none of at least 1 s.
  Pause check(TimePoint now, Duration sinceBoot);

private:
  TimePoint LastCheck;
  Duration LastSinceBoot;
};

} // namespace bergamot::base

#endif
