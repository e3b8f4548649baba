#include "libbergamotrouting/targetselector.h"

#include <algorithm>

namespace bergamot::routing {

namespace {

// Score factor for targets of earlier attempts. Any other target with capacity
// is preferred, but with few targets all may have been tried.
constexpr double TriedFactor = 1e-6;

} // namespace

TargetSelector::TargetSelector(const SelectorSettings &settings,
                               std::uint64_t seed)
    : Settings(settings), Generator(seed), Prefixes(settings.PrefixCapacity) {}

void TargetSelector::setSubset(const ServiceId &service,
                               const std::vector<SubsetTarget> &targets) {
  Service &state = Services[service];
  for (const TargetIndex index : state.Subset)
    --Targets[index].SubsetCount;
  state.Subset.clear();
  for (const auto &it : targets) {
    const TargetIndex index = indexOf(it.Id);
    Targets[index].Domain = it.Domain;
    Targets[index].InOwnDomain = it.Domain == Settings.OwnDomain;
    ++Targets[index].SubsetCount;
    state.Subset.push_back(index);
  }
  rebuildEligible();
}

void TargetSelector::setRemovedDomains(std::set<FailureDomainId> domains) {
  RemovedDomains = std::move(domains);
  rebuildEligible();
}

void TargetSelector::setLeaving(const TargetId &target, bool leaving) {
  Target &state = Targets[indexOf(target)];
  state.Leaving = leaving;
  updateEligible(state);
}

void TargetSelector::setReachable(const TargetId &target, bool reachable) {
  Target &state = Targets[indexOf(target)];
  state.Reachable = reachable;
  state.HasLoad = state.HasLoad && reachable;
  updateEligible(state);
}

void TargetSelector::setEjected(const TargetId &target, bool ejected) {
  Target &state = Targets[indexOf(target)];
  state.Ejected = ejected;
  updateEligible(state);
}

void TargetSelector::setRefused(const TargetId &target, TimePoint retryAt) {
  Targets[indexOf(target)].RefusedUntil = retryAt;
}

void TargetSelector::setLoad(const TargetId &target, const TargetLoad &load) {
  Target &state = Targets[indexOf(target)];
  if (state.HasLoad &&
      (load.DaemonIncarnation < state.Load.DaemonIncarnation ||
       (load.DaemonIncarnation == state.Load.DaemonIncarnation &&
        load.Sequence <= state.Load.Sequence)))
    return;
  if (load.DaemonIncarnation > state.Load.DaemonIncarnation) {
    state.Grants.clear();
    state.LastReceivedGrant = {};
  }
  state.Load = load;
  state.HasLoad = true;
  state.InFlightChange = 0;
  state.RefusedUntil = {};
  updateEligible(state);
}

void TargetSelector::addGrant(const TargetId &target,
                              Incarnation daemonIncarnation,
                              const Grant &grant) {
  Target &state = Targets[indexOf(target)];
  if (daemonIncarnation < state.Load.DaemonIncarnation)
    return;
  if (daemonIncarnation > state.Load.DaemonIncarnation) {
    state.Grants.clear();
    state.LastReceivedGrant = {};
    state.Load = {};
    state.Load.DaemonIncarnation = daemonIncarnation;
    state.HasLoad = false;
  }
  if (grant.Id <= state.LastReceivedGrant)
    return;
  state.LastReceivedGrant = grant.Id;
  state.Grants.push_back(grant);
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
  PrefixMatch prefixMatch;
  if (!request.PrefixHashes.empty())
    prefixMatch = Prefixes.longestMatch(request.PrefixHashes);
  Candidate best;
  if (prefixMatch.MatchFraction > 0 &&
      std::find(eligible.begin(), eligible.end(), prefixMatch.Target) !=
          eligible.end())
    updateBest(best, prefixMatch.Target, prefixMatch, request, now);
  // The second draw excludes the first, so the targets differ.
  const std::size_t n = eligible.size();
  const std::size_t first = Generator() % n;
  updateBest(best, eligible[first], prefixMatch, request, now);
  if (n > 1)
    updateBest(best, eligible[(first + 1 + Generator() % (n - 1)) % n],
               prefixMatch, request, now);
  // All candidates are full or were tried: scan the rest of the subset.
  if (best.Score <= 0 || isTried(Targets[best.Index], request))
    for (std::size_t i = 0; i < n; ++i)
      updateBest(best, eligible[(first + i) % n], prefixMatch, request, now);
  if (best.Score <= 0)
    return {Refusal::NoSlots, {}, {}, 0, 0, Settings.RetryAfter};
  Target &target = Targets[best.Index];
  const auto usedGrant = takeGrant(target, request.Units);
  // The load report already counts granted slots as used.
  if (!usedGrant)
    ++target.InFlightChange;
  return {Refusal::None, target.Id,          usedGrant,
          best.Score,    best.MatchFraction, {}};
}

void TargetSelector::onRequestFinished(const TargetId &target) {
  --Targets[indexOf(target)].InFlightChange;
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

void TargetSelector::rebuildEligible() {
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

void TargetSelector::updateEligible(Target &target) {
  const bool eligible = target.Reachable && !target.Leaving &&
                        !target.Ejected && !target.Load.Draining &&
                        !RemovedDomains.contains(target.Domain);
  if (eligible != target.Eligible)
    rebuildEligible();
}

bool TargetSelector::isTried(const Target &target,
                             const SelectionRequest &request) const {
  return std::find(request.Tried.begin(), request.Tried.end(), target.Id) !=
         request.Tried.end();
}

bool TargetSelector::hasFreeSlot(const Target &target) {
  return !target.Load.Contended &&
         std::int64_t{target.Load.SlotsUsed} + target.InFlightChange <
             std::int64_t{target.Load.SlotLimit};
}

double TargetSelector::freeFraction(const Target &target, bool hasGrant,
                                    TimePoint now) const {
  if (!target.HasLoad || now - target.Load.ReportedAt > Settings.LoadStaleAfter)
    return 0; // A new target reports its load within a heartbeat.
  if (target.Load.SlotLimit == 0)
    return 0;
  if (!hasGrant && (target.Load.Contended || now < target.RefusedUntil))
    return 0;
  // The load report counts the entry's own grants as used, but their slots are
  // free here.
  std::int64_t free = std::int64_t{target.Load.SlotLimit} -
                      target.Load.SlotsUsed - target.InFlightChange;
  if (hasGrant)
    for (const auto &grant : target.Grants)
      free += grant.Slots;
  // A grant guarantees capacity and takes precedence over the older load
  // report.
  free = std::max<std::int64_t>(free, hasGrant ? 1 : 0);
  return std::min(1.0, static_cast<double>(free) / target.Load.SlotLimit);
}

double TargetSelector::score(Target &target, double matchFraction,
                             std::uint64_t units, TimePoint now) const {
  // Fast path: most targets in a scan over full ones return here.
  if (target.Grants.empty() && target.HasLoad && !hasFreeSlot(target))
    return 0;
  std::erase_if(target.Grants, [now](const Grant &grant) {
    return grant.Expiry <= now || grant.Slots == 0;
  });
  const bool hasGrant =
      std::any_of(target.Grants.begin(), target.Grants.end(),
                  [units](const Grant &grant) { return grant.Units >= units; });
  // While a target warms up, entries that send without grants would together
  // exceed its low limit, so it receives only requests with a grant.
  if (!hasGrant && target.HasLoad && !target.Load.Warm)
    return 0;
  double value = freeFraction(target, hasGrant, now);
  value *= 1 + Settings.AffinityWeight * matchFraction;
  if (!target.InOwnDomain)
    value *= Settings.OtherDomainFactor;
  return hasGrant ? value : value * Settings.NoGrantFactor;
}

void TargetSelector::updateBest(Candidate &best, TargetIndex index,
                                const PrefixMatch &prefixMatch,
                                const SelectionRequest &request,
                                TimePoint now) {
  Target &target = Targets[index];
  const double matchFraction =
      prefixMatch.Target == index ? prefixMatch.MatchFraction : 0;
  double value = score(target, matchFraction, request.Units, now);
  if (value > 0 && isTried(target, request))
    value *= TriedFactor;
  if (value > best.Score)
    best = {index, value, matchFraction};
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
