#include "libbergamotgateway/targetdirectory.h"

#include <algorithm>

namespace bergamot::gateway {

void TargetDirectory::setTarget(const TargetRecord &record, TimePoint now) {
  // An address belongs to one live target; an older record there is stale.
  std::erase_if(Targets, [&](const auto &it) {
    return it.first != record.Id &&
           it.second.Record.Address == record.Address &&
           it.second.Record.StartedAtMs < record.StartedAtMs;
  });
  KnownTarget &it = Targets[record.Id];
  it.Record = record;
  it.ColdUntil = std::max(it.ColdUntil, now + record.ColdFor);
  it.LapsedUntil.reset();
}

void TargetDirectory::removeTarget(const std::string &id, bool reliable,
                                   TimePoint now) {
  const auto it = Targets.find(id);
  if (it == Targets.end())
    return;
  if (reliable || it->second.Record.Draining)
    Targets.erase(it);
  else if (!it->second.LapsedUntil)
    it->second.LapsedUntil = now + LapseGrace;
}

void TargetDirectory::keepOnly(const std::set<std::string> &ids, bool reliable,
                               TimePoint now) {
  std::vector<std::string> gone;
  for (const auto &[id, target] : Targets)
    if (!ids.contains(id))
      gone.push_back(id);
  for (const auto &id : gone)
    removeTarget(id, reliable, now);
}

void TargetDirectory::removeLapsed(TimePoint now) {
  std::erase_if(Targets, [&](const auto &it) {
    return it.second.LapsedUntil && *it.second.LapsedUntil <= now;
  });
}

void TargetDirectory::removeReplaced(const std::string &id) {
  Targets.erase(id);
}

void TargetDirectory::setColdUntil(const std::string &id, TimePoint until) {
  const auto it = Targets.find(id);
  if (it != Targets.end())
    it->second.ColdUntil = std::max(it->second.ColdUntil, until);
}

void TargetDirectory::setEvacuated(const std::string &domain, bool evacuated) {
  if (evacuated)
    Evacuated.insert(domain);
  else
    Evacuated.erase(domain);
}

const KnownTarget *TargetDirectory::target(const std::string &id) const {
  const auto it = Targets.find(id);
  return it == Targets.end() ? nullptr : &it->second;
}

} // namespace bergamot::gateway
