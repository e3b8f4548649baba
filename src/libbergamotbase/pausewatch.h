#ifndef BERGAMOT_LIBBERGAMOTBASE_PAUSEWATCH_H
#define BERGAMOT_LIBBERGAMOTBASE_PAUSEWATCH_H

#include "libbergamotbase/timetypes.h"

namespace bergamot::base {

/// A time in which the process didn't run.
struct Pause {
  Duration Length{0};
  /// The part that the monotonic clock hasn't counted, as the VM was suspended.
  /// Deadlines are that much too late.
  Duration Uncounted{0};
};

/// Returns the time since the VM's start, suspended times included.
Duration timeSinceBoot();

/// Notices pauses of the process by looks in short intervals. What a process
/// has learnt before a pause, and what it was permitted to do, may have run out
/// meanwhile.
class PauseWatch {
public:
  PauseWatch(TimePoint now, Duration sinceBoot)
      : LastLook(now), LastSinceBoot(sinceBoot) {}

  /// Returns the pause since the last look; its length is 0 if there was none
  /// of note.
  Pause look(TimePoint now, Duration sinceBoot);

private:
  TimePoint LastLook;
  Duration LastSinceBoot;
};

} // namespace bergamot::base

#endif
