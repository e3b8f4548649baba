#ifndef BERGAMOT_ENTRYPATH_DECISIONLOG_H
#define BERGAMOT_ENTRYPATH_DECISIONLOG_H

#include "libbergamotbase/timetypes.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bergamot::entrypath {

/// Writes decision lines of a bounded volume: each event name has its own
/// allowance per second, so that a flood of one kind doesn't hide others. The
/// number of lines left out is reported with the first line of the next second.
class DecisionLog {
public:
  explicit DecisionLog(unsigned linesPerSecond) : PerSecond(linesPerSecond) {}

  /// Returns whether a line of this event may be written now, and counts it.
  bool isAllowed(std::string_view event, base::TimePoint now);
  /// Writes a line if it is allowed.
  void write(std::string_view event, const nlohmann::json &fields,
             base::TimePoint now);

private:
  struct Allowance {
    base::TimePoint SecondEndsAt;
    unsigned Written = 0;
    std::uint64_t LeftOut = 0;
  };

  unsigned PerSecond;
  std::map<std::string, Allowance, std::less<>> ByEvent;
};

} // namespace bergamot::entrypath

#endif
