#ifndef BERGAMOT_ENTRYPATH_RATELIMITEDLOG_H
#define BERGAMOT_ENTRYPATH_RATELIMITEDLOG_H

#include "libbergamotbase/timetypes.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bergamot::entrypath {

/// Writes log lines, rate-limited per event name, so that a flood of one event
/// doesn't suppress others. The limit applies to windows of one second. A
/// window starts with the event's first line after the previous window. The
/// number of suppressed lines is logged with the event's first line in the next
/// window.
class RateLimitedLog {
public:
  explicit RateLimitedLog(unsigned linesPerSecond)
      : MaxLinesPerSecond(linesPerSecond) {}

  /// Returns whether a line of this event may be written now, and counts it
  /// against the event's limit.
  bool admit(std::string_view event, base::TimePoint now);
  /// Writes a line unless the event has reached its limit.
  void write(std::string_view event, const nlohmann::json &fields,
             base::TimePoint now);

private:
  struct EventWindow {
    base::TimePoint EndsAt;
    unsigned Written = 0;
    std::uint64_t Suppressed = 0;
  };

  unsigned MaxLinesPerSecond;
  std::map<std::string, EventWindow, std::less<>> ByEvent;
};

} // namespace bergamot::entrypath

#endif
