#include "libbergamotbase/pausedetector.h"

#include <algorithm>
#include <ctime>

namespace bergamot::base {

namespace {

/// A busy process also checks late, but rarely by this much.
constexpr std::chrono::milliseconds MinPause{1000};
/// Allows for the time between reading the two clocks.
constexpr std::chrono::milliseconds ClockReadTolerance{100};

} // namespace

Duration timeSinceBoot() {
  timespec now{};
  // Fails only if the system lacks this clock; suspensions then go undetected.
  if (::clock_gettime(CLOCK_BOOTTIME, &now) != 0)
    return Duration::zero();
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

Pause PauseDetector::check(TimePoint now, Duration sinceBoot) {
  const Duration elapsed = now - LastCheck;
  const Duration total = std::max(elapsed, sinceBoot - LastSinceBoot);
  LastCheck = now;
  LastSinceBoot = sinceBoot;
  if (total < MinPause)
    return {};
  const Duration suspended = total - elapsed;
  return {total, suspended < ClockReadTolerance ? Duration::zero() : suspended};
}

} // namespace bergamot::base
