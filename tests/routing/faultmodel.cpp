#include "faultmodel.h"

namespace bergamot::routing::testing {

namespace {

const ServiceId Service{"s"};
constexpr std::uint32_t FullLimit = 8;
constexpr std::int64_t AttemptTimeoutMs = 1500;
constexpr std::int64_t NoticeMs = 1400;
constexpr std::int64_t LongestPauseMs = 500;

AdmissionSettings admissionSettings() {
  AdmissionSettings settings;
  settings.Warmup.ColdLimit = 2;
  settings.Warmup.FullLimit = FullLimit;
  settings.UnitCount = 1000;
  return settings;
}

} // namespace

FaultModel::FaultModel(std::uint64_t seed) : Random(seed) {
  Targets.resize(6);
  Entries.resize(3);
  for (std::size_t i = 0; i < Targets.size(); ++i) {
    Targets[i].Id = TargetId{"t" + std::to_string(i)};
    Targets[i].Domain = FailureDomainId{"d" + std::to_string(i % 3)};
  }
  for (std::size_t i = 0; i < Entries.size(); ++i) {
    Entries[i].Id = VmId{"e" + std::to_string(i)};
    startEntry(Entries[i]);
  }
  for (auto &target : Targets)
    startTarget(target);
}

void FaultModel::run(std::int64_t untilMs) {
  for (; Now < untilMs; Now += 5) {
    for (std::size_t i = 0; i < Targets.size(); ++i)
      if (Now % 250 == static_cast<std::int64_t>(i) * 5) {
        readLoad(i);
        heartbeat(i);
      }
    for (std::size_t i = 0; i < Entries.size(); ++i)
      if (chance(0.15))
        addCall(i);
    if (Faults && chance(0.01))
      injectFault();
    while (!Events.empty() && Events.begin()->first <= Now) {
      const Action action = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      action();
    }
  }
}

bool FaultModel::chance(double rate) {
  return static_cast<double>(Random() % 1000000) < rate * 1e6;
}

void FaultModel::at(std::int64_t ms, Action action) {
  Events.emplace(ms, std::move(action));
}

void FaultModel::send(const Action &deliver) {
  if (!Faults || !chance(0.03))
    at(Now + 5 + static_cast<std::int64_t>(below(Random, Faults ? 200 : 10)),
       deliver);
  if (Faults && chance(0.1))
    at(Now + 5 + static_cast<std::int64_t>(below(Random, 3000)), deliver);
}

void FaultModel::startTarget(Target &target) {
  target.Admission = std::make_unique<TargetAdmission>(admissionSettings());
  target.Admission->setDomainRemoved(target.Domain.Value == RemovedDomain);
  for (const auto &entry : Entries)
    target.Admission->addEntry(entry.Id);
}

void FaultModel::startEntry(Entry &entry) {
  SelectorSettings settings;
  settings.OwnDomain = FailureDomainId{"d0"};
  entry.Selector = std::make_unique<TargetSelector>(settings, Random());
  entry.Retries = std::make_unique<RetryPolicy>(RetrySettings{});
  entry.WaitingCount = 0;
  std::vector<SubsetTarget> subset;
  for (const auto &target : Targets)
    subset.push_back({target.Id, target.Domain});
  entry.Selector->setSubset(Service, subset);
  entry.Selector->setRemovedDomains({FailureDomainId{RemovedDomain}});
}

void FaultModel::addCall(std::size_t entry) {
  const RequestId id{"r" + std::to_string(++Sent)};
  Call &call = Calls[id];
  call.Entry = entry;
  call.EntryLife = Entries[entry].Life;
  call.Rule = chance(0.5) ? RepeatRule::Idempotent : RepeatRule::NonIdempotent;
  call.Deadline = atMs(Now + 5000);
  Entries[entry].Retries->addRequest(AccountId{"a"}, Service);
  dispatch(id);
}

void FaultModel::dispatch(const RequestId &id) {
  Call &call = Calls.at(id);
  Entry &entry = Entries[call.Entry];
  SelectionRequest wanted;
  wanted.Units = 10;
  wanted.Tried = call.Tried;
  const auto chosen = entry.Selector->choose(Service, wanted, atMs(Now));
  if (chosen.Reason != routing::Refusal::None) {
    // It waits at the entry while that leaves time for an attempt.
    if (atMs(Now + AttemptTimeoutMs) < call.Deadline) {
      wait(id);
      return;
    }
    ++Refused;
    return;
  }
  ++call.Attempt.Value;
  call.Open = true;
  call.Tried.push_back(chosen.Target);
  AdmissionRequest request;
  request.Key = {id, call.Attempt};
  request.Entry = entry.Id;
  request.Account = AccountId{"a" + std::to_string(below(Random, 3))};
  request.Units = wanted.Units;
  request.Deadline = call.Deadline;
  request.Permit = chosen.Permit;
  const std::size_t index = std::stoul(chosen.Target.Value.substr(1));
  const std::uint64_t life = Targets[index].Life;
  send([this, index, life, request] { receive(index, life, request); });
  FailedAttempt silent;
  silent.Outcome = Executed::Unknown;
  at(Now + AttemptTimeoutMs,
     [this, key = request.Key, silent] { fail(key, silent); });
}

void FaultModel::wait(const RequestId &id) {
  const Call &call = Calls.at(id);
  ++Entries[call.Entry].WaitingCount;
  at(Now + 50, [this, id, life = call.EntryLife] {
    Entry &entry = Entries[Calls.at(id).Entry];
    if (entry.Life != life)
      return;
    --entry.WaitingCount;
    dispatch(id);
  });
}

void FaultModel::receive(std::size_t index, std::uint64_t life,
                         const AdmissionRequest &request) {
  Target &target = Targets[index];
  if (life != target.Life)
    return; // Its connection broke with the former process.
  if (Now < target.PausedUntil) {
    at(target.PausedUntil,
       [this, index, life, request] { receive(index, life, request); });
    return;
  }
  const auto verdict = target.Admission->admit(request, atMs(Now));
  if (verdict.isAdmitted()) {
    execute(target, index, request);
    return;
  }
  // A duplicate gets no answer: its first copy gets one.
  if (verdict.Reason == routing::Refusal::Duplicate)
    return;
  FailedAttempt failed;
  failed.Outcome = verdict.WasExecuted;
  failed.BytesSent = verdict.WasExecuted != Executed::No;
  reply(request.Key, false, failed);
}

void FaultModel::execute(Target &target, std::size_t index,
                         const AdmissionRequest &request) {
  Call &call = Calls.at(request.Key.Request);
  // Promise 2: the back end takes no more than its limit, whatever a former
  // daemon process or a broken connection has left running.
  REQUIRE(target.Running.size() < target.Admission->slotLimit(atMs(Now)));
  REQUIRE(target.Admission->usedSlots() <=
          target.Admission->slotLimit(atMs(Now)));
  // Promise 3: a removed failure domain receives no new work after 2 s.
  if (target.Domain.Value == RemovedDomain)
    REQUIRE(Now - RemovedSince <= 2000);
  // Promise 5: what was refused as not executed is never executed.
  REQUIRE_FALSE(call.StatedNotExecuted.contains(request.Key.Attempt));
  // Promise 6: non-idempotent work is executed at most once.
  REQUIRE(call.Executions.insert(request.Key.Attempt).second);
  if (call.Rule == RepeatRule::NonIdempotent)
    REQUIRE(call.Executions.size() == 1);
  target.Running.insert(request.Key);
  const std::uint64_t life = target.Life;
  const std::uint64_t engineLife = target.EngineLife;
  const bool broken = Faults && chance(0.02);
  if (broken) // The connection to the engine breaks; the engine goes on.
    at(Now + 20, [this, index, life, engineLife, key = request.Key] {
      finish(index, life, engineLife, key, true);
    });
  at(Now + 100 + static_cast<std::int64_t>(below(Random, 500)),
     [this, index, life, engineLife, key = request.Key] {
       finish(index, life, engineLife, key, false);
     });
}

void FaultModel::finish(std::size_t index, std::uint64_t life,
                        std::uint64_t engineLife, const AttemptKey &key,
                        bool broken) {
  Target &target = Targets[index];
  const bool sameEngine = engineLife == target.EngineLife;
  if (!broken)
    target.Running.erase(key);
  if (life != target.Life)
    return;
  const bool whole = sameEngine && !broken;
  target.Admission->setCompleted(
      key, {whole ? Executed::Yes : Executed::Unknown, true, {}}, atMs(Now));
  sendGrants(index, target.Admission->issueFreed(atMs(Now)));
  FailedAttempt failed;
  failed.Outcome = Executed::Unknown;
  reply(key, whole, failed);
}

void FaultModel::reply(const AttemptKey &key, bool answered,
                       const FailedAttempt &failed) {
  send([this, key, answered, failed] {
    Call &call = Calls.at(key.Request);
    if (!answered) {
      fail(key, failed);
      return;
    }
    if (!call.Open || call.Attempt != key.Attempt ||
        call.EntryLife != Entries[call.Entry].Life)
      return;
    call.Open = false;
    ++Answered;
    Entries[call.Entry].Selector->setFinished(call.Tried.back());
  });
}

void FaultModel::fail(const AttemptKey &key, FailedAttempt failed) {
  Call &call = Calls.at(key.Request);
  Entry &entry = Entries[call.Entry];
  if (call.EntryLife != entry.Life)
    return;
  if (failed.Outcome == Executed::No && !failed.BytesSent) {
    REQUIRE_FALSE(call.Executions.contains(key.Attempt));
    call.StatedNotExecuted.insert(key.Attempt);
  }
  if (!call.Open || call.Attempt != key.Attempt)
    return;
  if (Now < entry.PausedUntil) {
    at(entry.PausedUntil, [this, key, failed] { fail(key, failed); });
    return;
  }
  call.Open = false;
  entry.Selector->setFinished(call.Tried.back());
  failed.Account = AccountId{"a"};
  failed.Service = Service;
  failed.Rule = call.Rule;
  failed.Attempt = key.Attempt;
  failed.RefusedBefore = call.RefusedBefore;
  failed.Deadline = call.Deadline;
  const auto verdict = entry.Retries->decide(failed, atMs(Now));
  if (verdict.Next == RetryVerdict::Action::Requeue) {
    ++call.RefusedBefore;
    wait(key.Request);
    return;
  }
  if (verdict.Next == RetryVerdict::Action::SendAgain) {
    ++Repeated;
    dispatch(key.Request);
    return;
  }
  ++(verdict.Outcome == Executed::No ? Refused : UnknownOutcomes);
}

void FaultModel::heartbeat(std::size_t index) {
  Target &target = Targets[index];
  if (Now < target.PausedUntil)
    return;
  TargetLoad load;
  load.Daemon = Incarnation{target.Life};
  load.Sequence = ++target.LoadSequence;
  const auto grants = target.Admission->issueGrants(atMs(Now));
  load.SlotsUsed =
      target.Admission->usedSlots() + target.Admission->grantedSlots();
  load.SlotLimit = target.Admission->slotLimit(atMs(Now));
  load.Warm = target.Admission->ramp().isWarm();
  load.Contended = target.Admission->isContended();
  load.Time = atMs(Now);
  for (std::size_t i = 0; i < Entries.size(); ++i)
    send([this, i, index, load, id = target.Id] {
      Entries[i].Selector->setLoad(id, load);
      const double waiting = Entries[i].WaitingCount / 6.0;
      send([this, i, index, waiting, life = load.Daemon.Value] {
        if (Targets[index].Life == life)
          Targets[index].Admission->setWaiting(Entries[i].Id, waiting);
      });
    });
  sendGrants(index, grants);
}

void FaultModel::sendGrants(std::size_t index,
                            const std::vector<EntryGrant> &grants) {
  const Target &target = Targets[index];
  // What the entries hold together never exceeds what the target can take.
  if (!grants.empty())
    REQUIRE(target.Admission->usedSlots() + target.Admission->grantedSlots() <=
            target.Admission->slotLimit(atMs(Now)));
  for (const auto &it : grants)
    send([this, it, id = target.Id, life = target.Life] {
      for (auto &entry : Entries)
        if (entry.Id == it.Entry)
          entry.Selector->addGrant(id, Incarnation{life}, it.Issued);
    });
}

void FaultModel::readLoad(std::size_t index) {
  Target &target = Targets[index];
  const LoadReport report{Incarnation{target.EngineLife},
                          static_cast<std::uint32_t>(target.Running.size()),
                          10 * target.Running.size(),
                          0,
                          Faults && chance(0.02),
                          atMs(Now)};
  at(Now + static_cast<std::int64_t>(below(Random, Faults ? 1500 : 20)),
     [this, index, report, life = target.Life] {
       if (Targets[index].Life == life)
         Targets[index].Admission->addReport(report, atMs(Now));
     });
}

void FaultModel::endFaults() {
  Faults = false;
  setRemoved("");
  for (auto &target : Targets) {
    ++target.EngineLife;
    target.Running.clear();
  }
}

void FaultModel::injectFault() {
  const std::size_t index = below(Random, Targets.size());
  Target &target = Targets[index];
  Entry &entry = Entries[below(Random, Entries.size())];
  const auto pause = static_cast<std::int64_t>(below(Random, LongestPauseMs));
  switch (below(Random, 6)) {
  case 0: // The target daemon crashes; its engine goes on.
    ++target.Life;
    target.LoadSequence = 0;
    startTarget(target);
    break;
  case 1: // The engine restarts, perhaps twice in a row.
    target.EngineLife += 1 + below(Random, 2);
    target.Running.clear();
    break;
  case 2:
    target.PausedUntil = Now + pause;
    break;
  case 3:
    entry.PausedUntil = Now + pause;
    break;
  case 4:
    ++entry.Life;
    startEntry(entry);
    break;
  default:
    setRemoved(RemovedDomain.empty() ? target.Domain.Value : "");
    break;
  }
}

void FaultModel::setRemoved(const std::string &domain) {
  RemovedDomain = domain;
  RemovedSince = Now;
  const std::uint64_t version = ++RemovedVersion;
  const auto notify = [&](const Action &apply) {
    at(Now + static_cast<std::int64_t>(below(Random, NoticeMs)),
       [this, version, apply] {
         if (version == RemovedVersion)
           apply();
       });
  };
  for (std::size_t i = 0; i < Targets.size(); ++i)
    notify([this, i] {
      Targets[i].Admission->setDomainRemoved(Targets[i].Domain.Value ==
                                             RemovedDomain);
    });
  // Some entries never hear of it; the targets have to hold on their own.
  for (std::size_t i = 0; i < Entries.size(); ++i)
    if (!Faults || chance(0.7))
      notify([this, i] {
        Entries[i].Selector->setRemovedDomains(
            {FailureDomainId{RemovedDomain}});
      });
}

} // namespace bergamot::routing::testing
