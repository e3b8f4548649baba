#include "bergamotd/targettable.h"

#include "libbergamotbase/jsonlog.h"

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

TargetTable::TargetTable(base::FailureDomainId ownDomain, std::uint64_t seed)
    : Selector(selectorSettings(std::move(ownDomain)), seed) {}

void TargetTable::applyConfig(const ActiveConfigPtr &active) {
  const std::lock_guard lock(Mutex);
  std::unordered_map<std::string, Known> next;
  std::map<base::ServiceId, std::vector<routing::SubsetTarget>> subsets;
  Endpoints.clear();
  Services.clear();
  for (const auto &target : active->config().Targets) {
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
  for (const auto &target : active->config().Targets) {
    const auto &session = ByEndpoint.at(target.PeerEndpoint).Session;
    Selector.setLeaving(target.Id,
                        target.State == config::TargetState::Leaving);
    Selector.setReachable(target.Id, session != nullptr);
  }
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
  load.Daemon = base::Incarnation{message.incarnation};
  load.Sequence = heartbeat.sequence;
  load.SlotsUsed = report.slots_used;
  load.SlotLimit = report.slots_limit;
  load.Warm = !report.cold;
  load.Draining = heartbeat.draining || report.draining || !report.back_end_up;
  load.Time = steady_clock::now();
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
    applyEjections(detector.removeExpired(steady_clock::now()));
}

std::size_t TargetTable::connectedCount() const {
  const std::lock_guard lock(Mutex);
  return static_cast<std::size_t>(
      std::count_if(ByEndpoint.begin(), ByEndpoint.end(), [](const auto &it) {
        return it.second.Session && it.second.Session->isOpen();
      }));
}

} // namespace bergamot::bergamotd
