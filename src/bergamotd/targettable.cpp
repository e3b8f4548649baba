#include "bergamotd/targettable.h"

#include "libbergamotbase/jsonlog.h"
#include "libbergamotrouting/subsetplanner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bergamot::bergamotd {

namespace fb = wire::fb;
using std::chrono::steady_clock;

namespace {

routing::SelectorSettings selectorSettings(base::FailureDomainId ownDomain) {
  routing::SelectorSettings settings;
  settings.OwnDomain = std::move(ownDomain);
  return settings;
}

} // namespace

TargetTable::TargetTable(base::VmId self, base::FailureDomainId ownDomain,
                         std::uint64_t seed)
    : Self(std::move(self)),
      Selector(selectorSettings(std::move(ownDomain)), seed) {}

void TargetTable::applyConfig(const ActiveConfigPtr &active) {
  const std::lock_guard lock(Mutex);
  std::unordered_map<std::string, Known> next;
  std::map<base::ServiceId, std::vector<routing::SubsetTarget>> subsets;
  Endpoints.clear();
  Services.clear();
  std::map<base::ServiceId, std::set<base::TargetId>> own;
  for (const auto &service : active->config().Services)
    own[service.Id] = subsetOf(service.Id, active->config());
  LeavingByConfig.clear();
  for (const auto &target : active->config().Targets) {
    if (own[target.Service].count(target.Id) == 0)
      continue;
    if (target.State == config::TargetState::Leaving)
      LeavingByConfig.insert(target.Id);
    Known known{target.Id, nullptr};
    const auto it = ByEndpoint.find(target.PeerEndpoint);
    if (it != ByEndpoint.end() && it->second.Id == target.Id)
      known = it->second;
    Endpoints[target.Id] = target.PeerEndpoint;
    subsets[target.Service].push_back({target.Id, target.Domain});
    Services[target.Id] = target.Service;
    next.emplace(target.PeerEndpoint, std::move(known));
  }
  ByEndpoint = std::move(next);
  std::set<base::FailureDomainId> removed;
  for (const auto &domain : active->config().FailureDomains)
    if (domain.State == config::DomainState::Removed)
      removed.insert(domain.Id);
  Selector.setRemovedDomains(std::move(removed));
  for (const auto &service : active->config().Services) {
    const auto &subset = subsets[service.Id];
    Selector.setSubset(service.Id, subset);
    std::vector<base::TargetId> ids;
    for (const auto &target : subset)
      ids.push_back(target.Id);
    auto &detector =
        Outliers.try_emplace(service.Id, routing::OutlierSettings{})
            .first->second;
    applyEjections(detector.setTargets(ids));
  }
  for (const auto &[endpoint, known] : ByEndpoint)
    Selector.setReachable(known.Id, known.Session != nullptr);
  refreshLeaving();
}

std::set<base::TargetId>
TargetTable::subsetOf(const base::ServiceId &service,
                      const config::Configuration &config) {
  std::vector<base::VmId> entries;
  for (const auto &entry : config.Entries)
    entries.push_back(entry.Id);
  std::vector<base::TargetId> targets;
  std::vector<routing::WeightedTarget> weighted;
  for (const auto &target : config.Targets)
    if (target.Service == service) {
      targets.push_back(target.Id);
      weighted.push_back({target.Id, 1});
    }
  Subset &subset = Subsets[service];
  // A plan for hundreds of entries takes about 100 ms, so it is made only when
  // the sets change.
  if (subset.Entries == entries && subset.Targets == targets)
    return subset.Own;
  subset = {entries, targets, {}};
  const auto plan =
      routing::SubsetPlanner(routing::SubsetSettings{}).plan(entries, weighted);
  const auto it = plan.find(Self);
  if (it != plan.end())
    subset.Own.insert(it->second.begin(), it->second.end());
  return subset.Own;
}

void TargetTable::refreshLeaving() {
  for (const auto &[id, service] : Services)
    Selector.setLeaving(id, LeavingByConfig.count(id) != 0 ||
                                LeavingByList.count(id) != 0);
}

void TargetTable::setLeavingVms(const std::vector<base::TargetId> &targets) {
  const std::lock_guard lock(Mutex);
  std::set<base::TargetId> next(targets.begin(), targets.end());
  if (next == LeavingByList)
    return;
  for (const auto &id : next)
    if (LeavingByList.count(id) == 0)
      base::logDecision("route.leaving",
                        {{"target", id.Value}, {"source", "vm list"}});
  LeavingByList = std::move(next);
  refreshLeaving();
}

void TargetTable::setFinished(const base::TargetId &target) {
  const std::lock_guard lock(Mutex);
  Selector.onRequestFinished(target);
}

void TargetTable::setRefused(const base::TargetId &target,
                             base::TimePoint retryAt) {
  const std::lock_guard lock(Mutex);
  Selector.setRefused(target, retryAt);
}

std::optional<base::ServiceId>
TargetTable::serviceOf(const adapterpeer::PeerSessionPtr &session) const {
  const std::lock_guard lock(Mutex);
  const auto known = ByEndpoint.find(session->remoteAddress());
  if (known == ByEndpoint.end())
    return std::nullopt;
  const auto it = Services.find(known->second.Id);
  return it == Services.end() ? std::nullopt : std::optional(it->second);
}

std::size_t TargetTable::eligibleCount(const base::ServiceId &service) const {
  const std::lock_guard lock(Mutex);
  return Selector.eligibleCount(service);
}

std::set<std::string> TargetTable::endpoints() const {
  const std::lock_guard lock(Mutex);
  std::set<std::string> result;
  for (const auto &[endpoint, known] : ByEndpoint)
    result.insert(endpoint);
  return result;
}

void TargetTable::sessionOpened(const adapterpeer::PeerSessionPtr &session) {
  const std::lock_guard lock(Mutex);
  const auto it = ByEndpoint.find(session->remoteAddress());
  if (it == ByEndpoint.end())
    return;
  it->second.Session = session;
  Selector.setReachable(it->second.Id, true);
}

void TargetTable::sessionLost(const adapterpeer::PeerSessionPtr &session) {
  const std::lock_guard lock(Mutex);
  const auto it = ByEndpoint.find(session->remoteAddress());
  if (it == ByEndpoint.end() || it->second.Session != session)
    return;
  it->second.Session.reset();
  Selector.setReachable(it->second.Id, false);
}

void TargetTable::addMessage(const adapterpeer::PeerSessionPtr &session,
                             const wire::Envelope &message) {
  const std::lock_guard lock(Mutex);
  const auto it = ByEndpoint.find(session->remoteAddress());
  if (it == ByEndpoint.end() || it->second.Session != session)
    return;
  if (const auto *heartbeat = wire::payloadAs<fb::HeartbeatT>(message))
    addHeartbeat(it->second, message, *heartbeat);
  if (const auto *grant = wire::payloadAs<fb::GrantT>(message))
    addGrant(it->second, message, *grant);
}

void TargetTable::addHeartbeat(const Known &known,
                               const wire::Envelope &message,
                               const fb::HeartbeatT &heartbeat) {
  // An address that now belongs to another target must not get this one's
  // work.
  if (!heartbeat.load || heartbeat.load->target != known.Id.Value)
    return;
  const auto &report = *heartbeat.load;
  routing::TargetLoad load;
  load.DaemonIncarnation = base::Incarnation{message.incarnation};
  load.Sequence = heartbeat.sequence;
  load.SlotsUsed = report.slots_used;
  load.SlotLimit = report.slots_limit;
  load.Warm = report.warm;
  load.Contended = report.contended;
  load.Draining = heartbeat.draining || report.draining || !report.back_end_up;
  load.ReportedAt = steady_clock::now();
  Selector.setLoad(known.Id, load);
}

void TargetTable::addGrant(const Known &known, const wire::Envelope &message,
                           const fb::GrantT &grant) {
  routing::Grant copy;
  copy.Id = routing::GrantId{grant.id};
  copy.Slots = grant.slots;
  copy.Units = grant.units;
  copy.Expiry = steady_clock::now() + std::chrono::milliseconds(grant.valid_ms);
  Selector.addGrant(known.Id, base::Incarnation{message.incarnation}, copy);
}

TargetChoice TargetTable::choose(const base::ServiceId &service,
                                 const routing::SelectionRequest &request) {
  const std::lock_guard lock(Mutex);
  TargetChoice choice;
  choice.Selection = Selector.choose(service, request, steady_clock::now());
  if (choice.Selection.Reason != routing::Refusal::None)
    return choice;
  choice.Target = choice.Selection.Target;
  choice.Session = ByEndpoint.at(Endpoints.at(choice.Target)).Session;
  return choice;
}

void TargetTable::applyEjections(
    const std::vector<routing::EjectionChange> &changes) {
  for (const auto &change : changes) {
    Selector.setEjected(change.Target, change.Ejected);
    base::logDecision("route.eject", {{"target", change.Target.Value},
                                      {"ejected", change.Ejected}});
  }
}

void TargetTable::addResult(const base::TargetId &target, bool failed) {
  const std::lock_guard lock(Mutex);
  const auto service = Services.find(target);
  if (service == Services.end())
    return;
  auto &detector = Outliers.at(service->second);
  if (detector.addResult(target, failed, steady_clock::now()))
    applyEjections({{target, true}});
}

void TargetTable::tick() {
  const std::lock_guard lock(Mutex);
  for (auto &[service, detector] : Outliers)
    applyEjections(detector.unejectExpired(steady_clock::now()));
}

std::size_t TargetTable::connectedCount() const {
  const std::lock_guard lock(Mutex);
  return static_cast<std::size_t>(
      std::count_if(ByEndpoint.begin(), ByEndpoint.end(), [](const auto &it) {
        return it.second.Session && it.second.Session->isOpen();
      }));
}

} // namespace bergamot::bergamotd
