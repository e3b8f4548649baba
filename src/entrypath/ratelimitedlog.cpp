#include "entrypath/ratelimitedlog.h"

#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

namespace bergamot::entrypath {

bool RateLimitedLog::admit(std::string_view event, base::TimePoint now) {
  auto it = ByEvent.find(event);
  if (it == ByEvent.end())
    it = ByEvent.emplace(std::string(event), EventWindow{}).first;
  EventWindow &window = it->second;
  if (now >= window.EndsAt) {
    window.EndsAt = now + std::chrono::seconds(1);
    window.Written = 0;
    if (window.Suppressed > 0)
      base::logInfo("log.left_out",
                    {{"of", event}, {"lines", window.Suppressed}});
    window.Suppressed = 0;
  }
  if (window.Written >= MaxLinesPerSecond) {
    ++window.Suppressed;
    return false;
  }
  ++window.Written;
  return true;
}

void RateLimitedLog::write(std::string_view event, const nlohmann::json &fields,
                           base::TimePoint now) {
  if (admit(event, now))
    base::logDecision(event, fields);
}

} // namespace bergamot::entrypath
