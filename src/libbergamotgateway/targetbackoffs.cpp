#include "libbergamotgateway/targetbackoffs.h"

#include <algorithm>

namespace bergamot::gateway {

using base::TimePoint;

namespace {

/// Upper bound on a back-off, so that a faulty value can't exclude a target for
/// good.
constexpr std::chrono::hours MaxBackoff{1};

} // namespace

void TargetBackoffs::setBackoff(const std::string &target,
                                std::int64_t startedAtMs, TimePoint until,
                                TimePoint now) {
  std::erase_if(ByTarget,
                [&](const auto &it) { return it.second.Until <= now; });
  Backoff &backoff = ByTarget[target];
  if (backoff.StartedAtMs < startedAtMs)
    backoff = {startedAtMs, {}};
  backoff.Until = std::max(backoff.Until, std::min(until, now + MaxBackoff));
}

TimePoint TargetBackoffs::backoffUntil(const std::string &target,
                                       std::int64_t startedAtMs) const {
  const auto it = ByTarget.find(target);
  if (it == ByTarget.end() || it->second.StartedAtMs < startedAtMs)
    return TimePoint();
  return it->second.Until;
}

} // namespace bergamot::gateway
