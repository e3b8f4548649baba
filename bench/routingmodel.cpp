#include "routingmodel.h"

namespace bergamot::bench {

namespace {

const ServiceId ModelService{"s"};
constexpr std::int64_t LinkMs = 2;
constexpr std::int64_t HeartbeatMs = 250;
constexpr std::int64_t SilenceMs = 1000;

} // namespace

RoutingModel::RoutingModel(const ModelSettings &settings)
    : Settings(settings), Random(settings.Seed) {
  Targets.resize(settings.TargetCount);
  Entries.resize(settings.EntryCount);
  std::vector<SubsetTarget> subset;
  for (std::size_t i = 0; i < Targets.size(); ++i) {
    Targets[i].Id = TargetId{"t" + std::to_string(i)};
    Targets[i].Domain = i % settings.DomainCount;
    // The model begins warm.
    Targets[i].Completed = settings.Slots;
    subset.push_back(
        {Targets[i].Id, FailureDomainId{std::to_string(Targets[i].Domain)}});
  }
  for (std::size_t i = 0; i < Entries.size(); ++i) {
    Entry &entry = Entries[i];
    entry.Id = VmId{"e" + std::to_string(i)};
    SelectorSettings selector;
    selector.OwnDomain = FailureDomainId{std::to_string(i % 3)};
    entry.Selector = std::make_unique<TargetSelector>(selector, Random());
    entry.Selector->setSubset(ModelService, subset);
    entry.Retries = std::make_unique<RetryPolicy>(RetrySettings{});
    entry.Queue = std::make_unique<FairQueue>(QueueSettings{});
    entry.InFlight.resize(Targets.size(), 0);
    entry.Usable.resize(Targets.size(), true);
  }
  for (std::size_t i = 0; i < Targets.size(); ++i) {
    startTarget(Targets[i]);
    at(static_cast<std::int64_t>(i) * HeartbeatMs /
           static_cast<std::int64_t>(Targets.size()),
       [this, i] { heartbeat(i); });
  }
  for (std::size_t i = 0; i < Settings.Accounts.size(); ++i)
    scheduleArrival(i);
  at(0, [this] { tick(); });
}

void RoutingModel::run(std::int64_t untilMs) {
  while (!Events.empty() && Events.begin()->first < untilMs) {
    Now = Events.begin()->first;
    const Action action = std::move(Events.begin()->second);
    Events.erase(Events.begin());
    action();
  }
  Now = untilMs;
}

void RoutingModel::removeDomain(std::size_t domain) {
  GoneDomain = domain;
  for (std::size_t i = 0; i < Targets.size(); ++i) {
    if (Targets[i].Domain != domain)
      continue;
    at(Now + static_cast<std::int64_t>(unit() * 1000), [this, i] {
      Targets[i].Removed = true;
      Targets[i].Admission->setDomainRemoved(true);
    });
  }
  for (auto &entry : Entries)
    at(Now + static_cast<std::int64_t>(unit() * 1000), [this, &entry, domain] {
      entry.Selector->setRemovedDomains(
          {FailureDomainId{std::to_string(domain)}});
      for (std::size_t i = 0; i < Targets.size(); ++i)
        if (Targets[i].Domain == domain)
          entry.Usable[i] = false;
    });
}

void RoutingModel::failDomain(std::size_t domain) {
  GoneDomain = domain;
  for (std::size_t i = 0; i < Targets.size(); ++i) {
    if (Targets[i].Domain != domain)
      continue;
    Targets[i].Alive = false;
    ++Targets[i].Life;
    ++Targets[i].BackEndLife;
    at(Now + SilenceMs, [this, i] {
      for (auto &entry : Entries) {
        entry.Selector->setReachable(Targets[i].Id, false);
        entry.Usable[i] = false;
      }
      breakConnections(i);
    });
  }
}

void RoutingModel::returnDomain(std::size_t domain) {
  GoneDomain.reset();
  for (std::size_t i = 0; i < Targets.size(); ++i) {
    Target &target = Targets[i];
    if (target.Domain != domain)
      continue;
    ++target.Life;
    ++target.BackEndLife;
    target.Alive = true;
    target.Removed = false;
    target.Completed = 0;
    target.Running = 0;
    target.Sequence = 0;
    startTarget(target);
  }
  for (auto &entry : Entries) {
    entry.Selector->setRemovedDomains({});
    for (std::size_t i = 0; i < Targets.size(); ++i) {
      entry.Selector->setReachable(Targets[i].Id, true);
      entry.Usable[i] = true;
    }
  }
}

void RoutingModel::restartBackEnd(std::size_t target) {
  ++Targets[target].BackEndLife;
  Targets[target].Completed = 0;
  Targets[target].Running = 0;
  at(Now + 10, [this, target] { breakConnections(target); });
}

std::size_t RoutingModel::targetsAbove() const {
  return static_cast<std::size_t>(
      std::count_if(Targets.begin(), Targets.end(),
                    [](const Target &it) { return it.Above; }));
}

void RoutingModel::clearAbove() {
  Started = StartedAbove = 0;
  for (auto &target : Targets)
    target.Above = false;
}

std::uint32_t RoutingModel::limitOf(std::size_t target) const {
  return Settings.IsNaive ? Settings.Slots
                          : Targets[target].Admission->slotLimit(time(Now));
}

std::uint32_t RoutingModel::canTake(const Target &target) const {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(
      Settings.Slots, Settings.ColdSlots + target.Completed));
}

void RoutingModel::startTarget(Target &target) {
  AdmissionSettings settings;
  settings.Warmup.ColdLimit = Settings.ColdSlots;
  settings.Warmup.FullLimit = Settings.Slots;
  settings.MaxUnits = 1000000;
  target.Admission = std::make_unique<TargetAdmission>(settings);
  for (const auto &entry : Entries)
    target.Admission->addEntry(entry.Id);
}

void RoutingModel::breakConnections(std::size_t target) {
  for (std::size_t id = 0; id < Calls.size(); ++id) {
    if (!Calls[id].Open || Calls[id].Target != target)
      continue;
    const AttemptKey key{RequestId{std::to_string(id)}, Calls[id].Attempt};
    Targets[target].Admission->recordResult(key, {Executed::Unknown, false, {}},
                                            time(Now));
    fail(id, Calls[id].Attempt.Value, Executed::Unknown, true);
  }
}

void RoutingModel::heartbeat(std::size_t index) {
  at(Now + HeartbeatMs, [this, index] { heartbeat(index); });
  Target &target = Targets[index];
  if (!target.Alive || Settings.IsNaive)
    return;
  target.Admission->addReport({Incarnation{target.BackEndLife}, target.Running,
                               0, 0, false, time(Now - 1)},
                              time(Now));
  const auto grants = target.Admission->issueGrants(time(Now));
  TargetLoad load;
  load.DaemonIncarnation = Incarnation{target.Life};
  load.Sequence = ++target.Sequence;
  load.SlotsUsed =
      target.Admission->usedSlots() + target.Admission->grantedSlots();
  load.SlotLimit = target.Admission->slotLimit(time(Now));
  load.Warm = target.Admission->ramp().isWarm();
  load.Contended = target.Admission->isContended();
  load.ReportedAt = time(Now);
  for (std::size_t i = 0; i < Entries.size(); ++i)
    at(Now + LinkMs, [this, i, index, load] {
      Entry &entry = Entries[i];
      entry.Selector->setLoad(Targets[index].Id, load);
      pump(i);
      const auto waiting =
          static_cast<double>(entry.Queue->size() + entry.Waiting.size());
      const auto targets = static_cast<double>(std::max<std::size_t>(
          1, entry.Selector->eligibleCount(ModelService)));
      at(Now + LinkMs, [this, i, index, waiting, targets] {
        Targets[index].Admission->setWaiting(Entries[i].Id, waiting / targets);
      });
    });
  sendGrants(index, grants);
}

void RoutingModel::sendGrants(std::size_t index,
                              const std::vector<EntryGrant> &grants) {
  for (const auto &it : grants)
    at(Now + LinkMs, [this, index, it, life = Targets[index].Life] {
      const std::size_t i = std::stoul(it.Entry.Value.substr(1));
      Entries[i].Selector->addGrant(Targets[index].Id, Incarnation{life},
                                    it.IssuedGrant);
      pump(i);
    });
}

void RoutingModel::tick() {
  at(Now + 10, [this] { tick(); });
  for (std::size_t i = 0; i < Entries.size(); ++i) {
    for (const auto &id : Entries[i].Queue->removeExpired(time(Now)))
      end(std::stoul(id.Value), false, Executed::No);
    pump(i);
  }
}

} // namespace bergamot::bench
