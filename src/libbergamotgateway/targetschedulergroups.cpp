// The part of TargetScheduler that limits the streams of groups.
#include "libbergamotgateway/enginelimit.h"
#include "libbergamotgateway/targetscheduler.h"

namespace bergamot::gateway {

namespace {

/// How long the load of a group is used before it is computed again. A group
/// sends an event per stream in each pass, and a pass takes 50 ms or more.
constexpr std::chrono::milliseconds GroupLoadLifetime{25};
/// How long the load of a group without events is kept.
constexpr std::chrono::seconds GroupLoadMemory{60};
/// Fraction of a group's ranks above which closed records close it.
constexpr double ClosedFraction = 0.5;
/// Fraction of a group's ranks from which on open records open it again. Higher
/// than the rest, as the records of many ranks arrive one after another.
constexpr double OpenFraction = 0.75;

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

std::optional<GroupStateChange>
TargetScheduler::setTarget(const TargetRecord &record, TimePoint now,
                           TargetDirectory::RecordAge age) {
  const KnownTarget *known = Directory.target(record.Id);
  const bool hasChanged =
      record.Membership &&
      (!known || known->Record.Membership != record.Membership);
  Directory.setTarget(record, now, age);
  if (!hasChanged || !ServicesWithGroupRecords.contains(record.Service))
    return std::nullopt;
  return updateGroupState(record.Membership->Group, now);
}

void TargetScheduler::recordReplaced(const std::string &target, TimePoint now) {
  const KnownTarget *known = Directory.target(target);
  if (known && known->Record.Membership &&
      ServicesWithGroupRecords.contains(known->Record.Service))
    Groups.recordReplacedRank(known->Record.Membership->Group, now);
  Directory.removeReplacedTarget(target);
}

/// Records that a group accepts requests or not if the records of most of its
/// ranks agree on it. After a power loss, records from before it remain until
/// each rank has registered again.
std::optional<GroupStateChange>
TargetScheduler::updateGroupState(const std::string &group, TimePoint now) {
  GroupStateChange change;
  change.Group = group;
  for (const auto &[id, target] : Directory.targets()) {
    const auto &membership = target.Record.Membership;
    if (!membership || membership->Group != group)
      continue;
    change.Ranks = membership->GroupSize;
    ++(membership->Open ? change.OpenRanks : change.ClosedRanks);
  }
  const auto ranks = static_cast<double>(change.Ranks);
  if (static_cast<double>(change.ClosedRanks) > ClosedFraction * ranks) {
    if (!ClosedGroups.insert(group).second)
      return std::nullopt;
    Groups.recordClosed(group);
    return change;
  }
  if (static_cast<double>(change.OpenRanks) < OpenFraction * ranks ||
      ClosedGroups.erase(group) == 0)
    return std::nullopt;
  Groups.recordOpened(group, now);
  change.Open = true;
  return change;
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

base::Duration TargetScheduler::streamTime(const std::string &service) const {
  const Service *config = Table ? Table->service(service) : nullptr;
  const auto limit = StreamLimits.find(service);
  if (!config || !config->Engine || limit == StreamLimits.end())
    return {};
  return typicalStreamTime(*config->Engine, limit->second);
}

void TargetScheduler::removeIdleGroups(TimePoint now) {
  std::erase_if(LoadByGroup, [&](const auto &it) {
    return it.second.ExpiresAt + GroupLoadMemory <= now;
  });
}

} // namespace bergamot::gateway
