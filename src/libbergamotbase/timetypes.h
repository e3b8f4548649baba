#ifndef BERGAMOT_LIBBERGAMOTBASE_TIMETYPES_H
#define BERGAMOT_LIBBERGAMOTBASE_TIMETYPES_H

#include <chrono>
#include <cstdint>
#include <string>

namespace bergamot::base {

/// A point on the monotonic clock. Deadlines are stored in this type; it has
/// no meaning outside the process that read the clock.
using TimePoint = std::chrono::steady_clock::time_point;

/// A span on the monotonic clock.
using Duration = std::chrono::steady_clock::duration;

/// Returns a span in whole milliseconds, for logs.
constexpr std::int64_t wholeMilliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// Wall-clock time in milliseconds since the Unix epoch, for records that are
/// read later. No safety decision depends on it.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Returns the present wall-clock time.
WallTime wallNow();

/// Returns milliseconds since the Unix epoch.
std::int64_t toUnixMilliseconds(WallTime time);

/// Returns the wall-clock time of milliseconds since the Unix epoch.
WallTime fromUnixMilliseconds(std::int64_t milliseconds);

/// Formats a wall-clock time as RFC 3339 in UTC with milliseconds.
std::string formatRfc3339(WallTime time);

} // namespace bergamot::base

#endif
