#include "libbergamotgateway/targetdirectory.h"

#include <algorithm>

namespace bergamot::gateway {

void TargetDirectory::setTarget(const TargetRecord &record, TimePoint now,
                                RecordAge age) {
  // Only one running target can have an address; an older record with the same
  // address is stale.
  std::erase_if(Targets, [&](const auto &it) {
    return it.first != record.Id &&
           it.second.Record.Address == record.Address &&
           it.second.Record.StartedAtMs < record.StartedAtMs;
  });
  KnownTarget &it = Targets[record.Id];
  const bool staysDraining = age == RecordAge::MaybeOlder &&
                             it.Record.Draining &&
                             it.Record.StartedAtMs == record.StartedAtMs;
  it.Record = record;
  it.Record.Draining = record.Draining || staysDraining;
  it.ColdUntil = std::max(it.ColdUntil, now + record.ColdRemaining);
  it.RemoveAt.reset();
}

void TargetDirectory::removeTarget(const std::string &id,
                                   const RecordRemoval &removal,
                                   TimePoint now) {
  const auto it = Targets.find(id);
  if (it == Targets.end())
    return;
  if (removal.Reliable || it->second.Record.Draining)
    Targets.erase(it);
  else if (!it->second.RemoveAt)
    it->second.RemoveAt = removalDeadline(removal, now);
}

TimePoint TargetDirectory::removalDeadline(const RecordRemoval &removal,
                                           TimePoint now) const {
  const TimePoint graceEnd =
      removal.ReachableSince.value_or(now) + RemovalGrace;
  // After an outage that was longer than both bounds, the time of the
  // acknowledgement is unknown, and an expired record is more likely. Within
  // them the connections may have been silent while the store was available.
  for (const base::Duration bound : {DrainBound, SilenceBound})
    if (const TimePoint deadline = removal.PresentAt + bound; deadline > now)
      return std::min(graceEnd, deadline);
  return graceEnd;
}

void TargetDirectory::removeExpiredTargets(TimePoint now) {
  std::erase_if(Targets, [&](const auto &it) {
    return it.second.RemoveAt && *it.second.RemoveAt <= now;
  });
}

void TargetDirectory::removeReplacedTarget(const std::string &id) {
  Targets.erase(id);
}

void TargetDirectory::setColdUntil(const std::string &id, TimePoint until) {
  const auto it = Targets.find(id);
  if (it != Targets.end())
    it->second.ColdUntil = std::max(it->second.ColdUntil, until);
}

void TargetDirectory::setEvacuated(const std::string &failureDomain,
                                   bool evacuated) {
  if (evacuated)
    EvacuatedFailureDomains.insert(failureDomain);
  else
    EvacuatedFailureDomains.erase(failureDomain);
}

const KnownTarget *TargetDirectory::target(const std::string &id) const {
  const auto it = Targets.find(id);
  return it == Targets.end() ? nullptr : &it->second;
}

} // namespace bergamot::gateway
