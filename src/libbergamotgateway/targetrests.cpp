#include "libbergamotgateway/targetrests.h"

#include <algorithm>

namespace bergamot::gateway {

using base::TimePoint;

namespace {

/// Longest rest that is kept, so that a faulty value can't take a target out
/// for good.
constexpr std::chrono::hours MostRest{1};

} // namespace

void TargetRests::setRest(const std::string &target, std::int64_t startedAtMs,
                          TimePoint until, TimePoint now) {
  std::erase_if(ByTarget,
                [&](const auto &it) { return it.second.Until <= now; });
  Rest &rest = ByTarget[target];
  if (rest.StartedAtMs < startedAtMs)
    rest = {startedAtMs, {}};
  rest.Until = std::max(rest.Until, std::min(until, now + MostRest));
}

TimePoint TargetRests::restsUntil(const std::string &target,
                                  std::int64_t startedAtMs) const {
  const auto it = ByTarget.find(target);
  if (it == ByTarget.end() || it->second.StartedAtMs < startedAtMs)
    return TimePoint();
  return it->second.Until;
}

} // namespace bergamot::gateway
