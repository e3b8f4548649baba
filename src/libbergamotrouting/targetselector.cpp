#include "libbergamotrouting/targetselector.h"

#include <algorithm>

namespace bergamot::routing {

namespace {

// Factor on the score of targets that an earlier attempt went to. Any other
// target with room goes first, but with few targets all may have been tried.
constexpr double TriedFactor = 1e-6;

} // namespace

TargetSelector::TargetSelector(const SelectorSettings &settings,
                               std::uint64_t seed)
    : Settings(settings), Generator(seed), Prefixes(settings.PrefixCapacity) {}

void TargetSelector::setSubset(const ServiceId &service,
                               const std::vector<SubsetTarget> &targets) {
  Service &entry = Services[service];
  for (const TargetIndex index : entry.Subset)
    --Targets[index].SubsetCount;
  entry.Subset.clear();
  for (const auto &it : targets) {
    const TargetIndex index = indexOf(it.Id);
    Targets[index].Domain = it.Domain;
    Targets[index].InOwnDomain = it.Domain == Settings.OwnDomain;
    ++Targets[index].SubsetCount;
    entry.Subset.push_back(index);
  }
  refreshEligible();
}

void TargetSelector::setRemovedDomains(std::set<FailureDomainId> domains) {
  RemovedDomains = std::move(domains);
  refreshEligible();
}

void TargetSelector::setLeaving(const TargetId &target, bool leaving) {
  Target &entry = Targets[indexOf(target)];
  entry.Leaving = leaving;
  setEligible(entry);
}

void TargetSelector::setReachable(const TargetId &target, bool reachable) {
  Target &entry = Targets[indexOf(target)];
  entry.Reachable = reachable;
  entry.HasLoad = entry.HasLoad && reachable;
  setEligible(entry);
}

void TargetSelector::setEjected(const TargetId &target, bool ejected) {
  Target &entry = Targets[indexOf(target)];
  entry.Ejected = ejected;
  setEligible(entry);
}

void TargetSelector::setRefused(const TargetId &target, TimePoint retryAt) {
  Targets[indexOf(target)].RefusedUntil = retryAt;
}

void TargetSelector::setLoad(const TargetId &target, const TargetLoad &load) {
  Target &entry = Targets[indexOf(target)];
  if (entry.HasLoad && (load.Daemon < entry.Load.Daemon ||
                        (load.Daemon == entry.Load.Daemon &&
                         load.Sequence <= entry.Load.Sequence)))
    return;
  if (load.Daemon > entry.Load.Daemon) {
    entry.Grants.clear();
    entry.LastGrant = {};
  }
  entry.Load = load;
  entry.HasLoad = true;
  entry.SentSinceLoad = 0;
  entry.RefusedUntil = {};
  setEligible(entry);
}

void TargetSelector::addGrant(const TargetId &target, Incarnation daemon,
                              const Grant &grant) {
  Target &entry = Targets[indexOf(target)];
  if (daemon < entry.Load.Daemon)
    return;
  if (daemon > entry.Load.Daemon) {
    entry.Grants.clear();
    entry.LastGrant = {};
    entry.Load = {};
    entry.Load.Daemon = daemon;
    entry.HasLoad = false;
  }
  if (grant.Id <= entry.LastGrant)
    return;
  entry.LastGrant = grant.Id;
  entry.Grants.push_back(grant);
}

void TargetSelector::addCacheEvent(const TargetId &target,
                                   const CacheEvent &event) {
  Prefixes.addEvent(indexOf(target), event);
}

Selection TargetSelector::choose(const ServiceId &service,
                                 const SelectionRequest &request,
                                 TimePoint now) {
  const auto it = Services.find(service);
  if (it == Services.end() || it->second.Eligible.empty())
    return {Refusal::NoTarget, {}, {}, 0, 0, Settings.RetryAfter};
  const auto &eligible = it->second.Eligible;
  PrefixMatch holder;
  if (!request.Blocks.empty())
    holder = Prefixes.longestMatch(request.Blocks);
  Candidate best;
  if (holder.Match > 0 && std::find(eligible.begin(), eligible.end(),
                                    holder.Target) != eligible.end())
    consider(best, holder.Target, holder, request, now);
  // The second draw leaves out the first, so both differ.
  const std::size_t n = eligible.size();
  const std::size_t first = Generator() % n;
  consider(best, eligible[first], holder, request, now);
  if (n > 1)
    consider(best, eligible[(first + 1 + Generator() % (n - 1)) % n], holder,
             request, now);
  // All candidates are full or were tried: the rest of the subset follows.
  if (best.Score <= 0 || isTried(Targets[best.Index], request))
    for (std::size_t i = 0; i < n; ++i)
      consider(best, eligible[(first + i) % n], holder, request, now);
  if (best.Score <= 0)
    return {Refusal::NoSlots, {}, {}, 0, 0, Settings.RetryAfter};
  Target &target = Targets[best.Index];
  const auto permit = takeGrant(target, request.Units);
  // The report already counts granted slots as used.
  if (!permit)
    ++target.SentSinceLoad;
  return {Refusal::None, target.Id, permit, best.Score, best.Match, {}};
}

void TargetSelector::setFinished(const TargetId &target) {
  --Targets[indexOf(target)].SentSinceLoad;
}

std::size_t TargetSelector::eligibleCount(const ServiceId &service) const {
  const auto it = Services.find(service);
  return it == Services.end() ? 0 : it->second.Eligible.size();
}

TargetIndex TargetSelector::indexOf(const TargetId &id) {
  const auto [it, added] =
      Indexes.emplace(id, static_cast<TargetIndex>(Targets.size()));
  if (added) {
    Targets.emplace_back();
    Targets.back().Id = id;
  }
  return it->second;
}

void TargetSelector::refreshEligible() {
  for (auto &target : Targets)
    target.Eligible = target.Reachable && !target.Leaving && !target.Ejected &&
                      !target.Load.Draining &&
                      !RemovedDomains.contains(target.Domain);
  for (auto &[id, service] : Services) {
    service.Eligible.clear();
    for (const TargetIndex index : service.Subset)
      if (Targets[index].Eligible)
        service.Eligible.push_back(index);
  }
}

void TargetSelector::setEligible(Target &target) {
  const bool eligible = target.Reachable && !target.Leaving &&
                        !target.Ejected && !target.Load.Draining &&
                        !RemovedDomains.contains(target.Domain);
  if (eligible != target.Eligible)
    refreshEligible();
}

bool TargetSelector::isTried(const Target &target,
                             const SelectionRequest &request) const {
  return std::find(request.Tried.begin(), request.Tried.end(), target.Id) !=
         request.Tried.end();
}

bool TargetSelector::hasFreeSlot(const Target &target) {
  return !target.Load.Contended &&
         std::int64_t{target.Load.SlotsUsed} + target.SentSinceLoad <
             std::int64_t{target.Load.SlotLimit};
}

double TargetSelector::freePart(const Target &target, bool granted,
                                TimePoint now) const {
  if (!target.HasLoad || now - target.Load.Time > Settings.LoadStaleAfter)
    return 0; // A new target reports its load within a heartbeat.
  if (target.Load.SlotLimit == 0)
    return 0;
  if (!granted && (target.Load.Contended || now < target.RefusedUntil))
    return 0;
  // The entry's own grants are counted as used in the report, but free here.
  std::int64_t free = std::int64_t{target.Load.SlotLimit} -
                      target.Load.SlotsUsed - target.SentSinceLoad;
  if (granted)
    for (const auto &grant : target.Grants)
      free += grant.Slots;
  // A grant is a promise of the target and goes before the lagging report.
  free = std::max<std::int64_t>(free, granted ? 1 : 0);
  return std::min(1.0, static_cast<double>(free) / target.Load.SlotLimit);
}

double TargetSelector::score(Target &target, double match, std::uint64_t units,
                             TimePoint now) const {
  // Most targets of a scan over full ones end here.
  if (target.Grants.empty() && target.HasLoad && !hasFreeSlot(target))
    return 0;
  std::erase_if(target.Grants, [now](const Grant &grant) {
    return grant.Expiry <= now || grant.Slots == 0;
  });
  const bool granted =
      std::any_of(target.Grants.begin(), target.Grants.end(),
                  [units](const Grant &grant) { return grant.Units >= units; });
  // While a target warms up, entries that guess would exceed its low limit
  // together, so it receives granted work only.
  if (!granted && target.HasLoad && !target.Load.Warm)
    return 0;
  double value = freePart(target, granted, now);
  value *= 1 + Settings.AffinityWeight * match;
  if (!target.InOwnDomain)
    value *= Settings.OtherDomainFactor;
  return granted ? value : value * Settings.NoGrantFactor;
}

void TargetSelector::consider(Candidate &best, TargetIndex index,
                              const PrefixMatch &holder,
                              const SelectionRequest &request, TimePoint now) {
  Target &target = Targets[index];
  const double match = holder.Target == index ? holder.Match : 0;
  double value = score(target, match, request.Units, now);
  if (value > 0 && isTried(target, request))
    value *= TriedFactor;
  if (value > best.Score)
    best = {index, value, match};
}

std::optional<GrantId> TargetSelector::takeGrant(Target &target,
                                                 std::uint64_t units) {
  for (auto &grant : target.Grants) {
    if (grant.Slots == 0 || grant.Units < units)
      continue;
    --grant.Slots;
    grant.Units -= units;
    return grant.Id;
  }
  return std::nullopt;
}

} // namespace bergamot::routing
