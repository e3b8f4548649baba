#include "entrypath/decisionlog.h"

#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

namespace bergamot::entrypath {

bool DecisionLog::isAllowed(std::string_view event, base::TimePoint now) {
  auto it = ByEvent.find(event);
  if (it == ByEvent.end())
    it = ByEvent.emplace(std::string(event), Allowance{}).first;
  Allowance &allowance = it->second;
  if (now >= allowance.SecondEndsAt) {
    allowance.SecondEndsAt = now + std::chrono::seconds(1);
    allowance.Written = 0;
    if (allowance.LeftOut > 0)
      base::logInfo("log.left_out",
                    {{"of", event}, {"lines", allowance.LeftOut}});
    allowance.LeftOut = 0;
  }
  if (allowance.Written >= PerSecond) {
    ++allowance.LeftOut;
    return false;
  }
  ++allowance.Written;
  return true;
}

void DecisionLog::write(std::string_view event, const nlohmann::json &fields,
                        base::TimePoint now) {
  if (isAllowed(event, now))
    base::logDecision(event, fields);
}

} // namespace bergamot::entrypath
