#ifndef BERGAMOT_LIBBERGAMOTBASE_TIMETYPES_H
#define BERGAMOT_LIBBERGAMOTBASE_TIMETYPES_H

#include <chrono>
#include <cstdint>
#include <string>

namespace bergamot::base {

/// A point in time on the monotonic clock, used for deadlines. Not meaningful
/// outside the process that read the clock.
using TimePoint = std::chrono::steady_clock::time_point;

/// A duration on the monotonic clock.
using Duration = std::chrono::steady_clock::duration;

/// Returns a duration in whole milliseconds, rounded towards zero, for logs.
constexpr std::int64_t wholeMilliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// Wall-clock time in milliseconds since the Unix epoch, for timestamps of
/// records. No safety decision depends on it.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Returns the current wall-clock time.
WallTime wallNow();

/// Converts a wall-clock time to milliseconds since the Unix epoch.
std::int64_t toUnixMilliseconds(WallTime time);

/// Converts milliseconds since the Unix epoch to a wall-clock time.
WallTime fromUnixMilliseconds(std::int64_t milliseconds);

/// Formats a wall-clock time as RFC 3339 in UTC with milliseconds.
std::string formatRfc3339(WallTime time);

} // namespace bergamot::base

#endif
