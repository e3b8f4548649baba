// The part of TargetScheduler that limits the streams of groups.
#include "libbergamotgateway/targetscheduler.h"

namespace bergamot::gateway {

namespace {

/// How long the load of a group is used before it is computed again. A group
/// sends an event per stream in each pass, and a pass takes 50 ms or more.
constexpr std::chrono::milliseconds GroupLoadLifetime{25};
/// How long the load of a group without events is kept.
constexpr std::chrono::seconds GroupLoadMemory{60};

} // namespace

double TargetScheduler::requestsPerTarget(const std::string &group,
                                          TimePoint now) {
  GroupLoad &load = LoadByGroup[group];
  if (now < load.ExpiresAt)
    return load.RequestsPerTarget;
  double requests = 0;
  double targets = 0;
  for (const auto &[id, target] : Directory.targets()) {
    const auto &membership = target.Record.Membership;
    if (!membership || membership->Group != group)
      continue;
    requests += Loads.total(id);
    targets += 1;
  }
  load = {targets > 0 ? requests / targets : 0, now + GroupLoadLifetime};
  return load.RequestsPerTarget;
}

void TargetScheduler::recordEventGap(const std::string &target,
                                     base::Duration gap, TimePoint now) {
  const KnownTarget *known = Directory.target(target);
  if (!known || !known->Record.Membership)
    return;
  const auto engine = EngineLimits.find(known->Record.Service);
  if (engine == EngineLimits.end())
    return;
  const std::string &group = known->Record.Membership->Group;
  GroupLimits.recordGap(group, engine->second.Engine, gap,
                        requestsPerTarget(group, now), now);
}

std::vector<GroupLimitView> TargetScheduler::groupLimits(TimePoint now) {
  std::map<std::string, GroupLimitView> views;
  for (const auto &[id, target] : Directory.targets()) {
    const auto &membership = target.Record.Membership;
    const auto engine = EngineLimits.find(target.Record.Service);
    if (!membership || engine == EngineLimits.end() ||
        views.contains(membership->Group))
      continue;
    const std::string &group = membership->Group;
    const std::uint32_t fallback = StreamLimits[target.Record.Service];
    views[group] = {group,
                    GroupLimits.limit(group, engine->second.Engine,
                                      engine->second.EventGapObjective,
                                      fallback, now),
                    fallback, requestsPerTarget(group, now)};
  }
  std::vector<GroupLimitView> result;
  result.reserve(views.size());
  for (auto &[group, view] : views)
    result.push_back(std::move(view));
  return result;
}

void TargetScheduler::removeIdleGroups(TimePoint now) {
  std::erase_if(LoadByGroup, [&](const auto &it) {
    return it.second.ExpiresAt + GroupLoadMemory <= now;
  });
}

} // namespace bergamot::gateway
