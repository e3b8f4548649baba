#ifndef BERGAMOT_ENTRYPATH_DECISIONLOG_H
#define BERGAMOT_ENTRYPATH_DECISIONLOG_H

#include "libbergamotbase/timetypes.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bergamot::entrypath {

/// Writes rate-limited decision log lines. Each event name has its own limit
/// per second, so that a flood of one event doesn't suppress others. The number
/// of suppressed lines is logged with the first line of the event after the
/// second has ended.
class DecisionLog {
public:
  explicit DecisionLog(unsigned linesPerSecond)
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
