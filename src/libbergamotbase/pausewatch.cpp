#include "libbergamotbase/pausewatch.h"

#include <algorithm>
#include <ctime>

namespace bergamot::base {

namespace {

/// A busy process looks late, too, but hardly by this much.
constexpr std::chrono::milliseconds MinPause{1000};
/// The clocks are read one after the other.
constexpr std::chrono::milliseconds ClockSlack{100};

} // namespace

Duration timeSinceBoot() {
  timespec now{};
  // Fails only if the system has no such clock; no pause is noticed then.
  if (::clock_gettime(CLOCK_BOOTTIME, &now) != 0)
    return Duration::zero();
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

Pause PauseWatch::look(TimePoint now, Duration sinceBoot) {
  const Duration counted = now - LastLook;
  const Duration all = std::max(counted, sinceBoot - LastSinceBoot);
  LastLook = now;
  LastSinceBoot = sinceBoot;
  if (all < MinPause)
    return {};
  const Duration uncounted = all - counted;
  return {all, uncounted < ClockSlack ? Duration::zero() : uncounted};
}

} // namespace bergamot::base
