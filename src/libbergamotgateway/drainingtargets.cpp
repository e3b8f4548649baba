#include "libbergamotgateway/drainingtargets.h"

namespace bergamot::gateway {

namespace {

/// How long announcements are retained. A draining target exits within seconds
/// and its id isn't reused.
constexpr std::chrono::hours AnnouncementRetention{1};

} // namespace

void DrainingTargets::add(const std::string &target, std::int64_t startedAtMs,
                          base::TimePoint now) {
  std::erase_if(ByTarget,
                [&](const auto &it) { return it.second.ExpiresAt <= now; });
  ByTarget[target] = {startedAtMs, now + AnnouncementRetention};
}

bool DrainingTargets::contains(const std::string &target,
                               std::int64_t startedAtMs) const {
  const auto it = ByTarget.find(target);
  return it != ByTarget.end() && startedAtMs <= it->second.StartedAtMs;
}

} // namespace bergamot::gateway
