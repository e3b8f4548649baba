#include "libbergamotbase/timetypes.h"

#include <cstdio>
#include <ctime>

namespace bergamot::base {

WallTime wallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

std::int64_t toUnixMilliseconds(WallTime time) {
  return time.time_since_epoch().count();
}

WallTime fromUnixMilliseconds(std::int64_t milliseconds) {
  return WallTime(std::chrono::milliseconds(milliseconds));
}

std::string formatRfc3339(WallTime time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  const auto millis = static_cast<int>((time - seconds).count());
  const std::time_t raw = seconds.time_since_epoch().count();
  std::tm parts{};
  gmtime_r(&raw, &parts);
  char date[32];
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &parts);
  char text[48];
  std::snprintf(text, sizeof(text), "%s.%03dZ", date, millis);
  return text;
}

} // namespace bergamot::base
