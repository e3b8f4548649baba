#include "faultmodel.h"

namespace bergamot::routing::testing {

namespace {

const ServiceId Service{"s"};
constexpr std::uint32_t FullLimit = 8;
constexpr std::int64_t AttemptTimeoutMs = 1500;

AdmissionSettings admissionSettings() {
  AdmissionSettings settings;
  settings.Warmup.ColdLimit = 2;
  settings.Warmup.FullLimit = FullLimit;
  settings.MaxUnits = 1000;
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
    if (FaultsEnabled && chance(0.01))
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

void FaultModel::schedule(std::int64_t ms, Action action) {
  Events.emplace(ms, std::move(action));
}

void FaultModel::send(const Action &deliver) {
  if (!FaultsEnabled || !chance(0.03))
    schedule(Now + 5 +
                 static_cast<std::int64_t>(
                     randomBelow(Random, FaultsEnabled ? 200 : 10)),
             deliver);
  if (FaultsEnabled && chance(0.1))
    schedule(Now + 5 + static_cast<std::int64_t>(randomBelow(Random, 3000)),
             deliver);
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
  call.EntryIncarnation = Entries[entry].ProcessIncarnation;
  call.Rule = chance(0.5) ? RequestIdempotency::Idempotent
                          : RequestIdempotency::NonIdempotent;
  call.Deadline = atMs(Now + 5000);
  Entries[entry].Retries->addRequest(AccountId{"a"}, Service);
  dispatch(id);
}

void FaultModel::dispatch(const RequestId &id) {
  Call &call = Calls.at(id);
  Entry &entry = Entries[call.Entry];
  SelectionRequest selection;
  selection.Units = 10;
  selection.Tried = call.Tried;
  const auto chosen = entry.Selector->choose(Service, selection, atMs(Now));
  if (chosen.Reason != routing::Refusal::None) {
    // The request is queued at the entry while there is time for an attempt.
    if (atMs(Now + AttemptTimeoutMs) < call.Deadline) {
      wait(id);
      return;
    }
    ++Refused;
    return;
  }
  ++call.Attempt.Value;
  call.AwaitingOutcome = true;
  call.Tried.push_back(chosen.Target);
  AdmissionRequest request;
  request.Key = {id, call.Attempt};
  request.Entry = entry.Id;
  request.Account = AccountId{"a" + std::to_string(randomBelow(Random, 3))};
  request.Units = selection.Units;
  request.Deadline = call.Deadline;
  request.UsedGrant = chosen.UsedGrant;
  const std::size_t index = std::stoul(chosen.Target.Value.substr(1));
  const std::uint64_t processIncarnation = Targets[index].ProcessIncarnation;
  send([this, index, processIncarnation, request] {
    receive(index, processIncarnation, request);
  });
  RetryCandidate timedOut;
  timedOut.Outcome = Executed::Unknown;
  schedule(Now + AttemptTimeoutMs,
           [this, key = request.Key, timedOut] { fail(key, timedOut); });
}

void FaultModel::wait(const RequestId &id) {
  const Call &call = Calls.at(id);
  ++Entries[call.Entry].WaitingCount;
  schedule(Now + 50, [this, id, processIncarnation = call.EntryIncarnation] {
    Entry &entry = Entries[Calls.at(id).Entry];
    if (entry.ProcessIncarnation != processIncarnation)
      return;
    --entry.WaitingCount;
    dispatch(id);
  });
}

void FaultModel::receive(std::size_t index, std::uint64_t processIncarnation,
                         const AdmissionRequest &request) {
  Target &target = Targets[index];
  if (processIncarnation != target.ProcessIncarnation)
    return; // The connection was lost with the previous process.
  if (Now < target.PausedUntil) {
    schedule(target.PausedUntil, [this, index, processIncarnation, request] {
      receive(index, processIncarnation, request);
    });
    return;
  }
  const auto verdict = target.Admission->admit(request, atMs(Now));
  if (verdict.isAdmitted()) {
    execute(target, index, request);
    return;
  }
  // A duplicate gets no answer; the original gets one.
  if (verdict.Reason == routing::Refusal::Duplicate)
    return;
  RetryCandidate failed;
  failed.Outcome = verdict.WasExecuted;
  failed.MayHaveSentBytes = verdict.WasExecuted != Executed::No;
  reply(request.Key, false, failed);
}

void FaultModel::execute(Target &target, std::size_t index,
                         const AdmissionRequest &request) {
  Call &call = Calls.at(request.Key.Request);
  // Guarantee 2: the back end receives no more than its limit, whatever a
  // previous daemon process or a broken connection has left running.
  REQUIRE(target.Running.size() < target.Admission->slotLimit(atMs(Now)));
  REQUIRE(target.Admission->usedSlots() <=
          target.Admission->slotLimit(atMs(Now)));
  // Guarantee 3: a removed failure domain receives no new work after 2 s.
  if (target.Domain.Value == RemovedDomain)
    REQUIRE(Now - RemovedSince <= 2000);
  // Guarantee 5: an attempt that was refused as not executed is never executed.
  REQUIRE_FALSE(call.ReportedNotExecuted.contains(request.Key.Attempt));
  // Guarantee 6: non-idempotent work is executed at most once.
  REQUIRE(call.Executions.insert(request.Key.Attempt).second);
  if (call.Rule == RequestIdempotency::NonIdempotent)
    REQUIRE(call.Executions.size() == 1);
  target.Running.insert(request.Key);
  const std::uint64_t processIncarnation = target.ProcessIncarnation;
  const std::uint64_t engineIncarnation = target.EngineIncarnation;
  const bool connectionLost = FaultsEnabled && chance(0.02);
  if (connectionLost) // The engine itself keeps running.
    schedule(Now + 20, [this, index, processIncarnation, engineIncarnation,
                        key = request.Key] {
      finish(index, processIncarnation, engineIncarnation, key, true);
    });
  schedule(
      Now + 100 + static_cast<std::int64_t>(randomBelow(Random, 500)),
      [this, index, processIncarnation, engineIncarnation, key = request.Key] {
        finish(index, processIncarnation, engineIncarnation, key, false);
      });
}

void FaultModel::finish(std::size_t index, std::uint64_t processIncarnation,
                        std::uint64_t engineIncarnation, const AttemptKey &key,
                        bool connectionLost) {
  Target &target = Targets[index];
  const bool sameEngine = engineIncarnation == target.EngineIncarnation;
  if (!connectionLost)
    target.Running.erase(key);
  if (processIncarnation != target.ProcessIncarnation)
    return;
  const bool succeeded = sameEngine && !connectionLost;
  target.Admission->recordResult(
      key, {succeeded ? Executed::Yes : Executed::Unknown, true, {}},
      atMs(Now));
  sendGrants(index, target.Admission->issueFreedGrants(atMs(Now)));
  RetryCandidate failed;
  failed.Outcome = Executed::Unknown;
  reply(key, succeeded, failed);
}

void FaultModel::reply(const AttemptKey &key, bool answered,
                       const RetryCandidate &failed) {
  send([this, key, answered, failed] {
    Call &call = Calls.at(key.Request);
    if (!answered) {
      fail(key, failed);
      return;
    }
    if (!call.AwaitingOutcome || call.Attempt != key.Attempt ||
        call.EntryIncarnation != Entries[call.Entry].ProcessIncarnation)
      return;
    call.AwaitingOutcome = false;
    ++Answered;
    Entries[call.Entry].Selector->onRequestFinished(call.Tried.back());
  });
}

void FaultModel::fail(const AttemptKey &key, RetryCandidate failed) {
  Call &call = Calls.at(key.Request);
  Entry &entry = Entries[call.Entry];
  if (call.EntryIncarnation != entry.ProcessIncarnation)
    return;
  if (failed.Outcome == Executed::No && !failed.MayHaveSentBytes) {
    REQUIRE_FALSE(call.Executions.contains(key.Attempt));
    call.ReportedNotExecuted.insert(key.Attempt);
  }
  if (!call.AwaitingOutcome || call.Attempt != key.Attempt)
    return;
  if (Now < entry.PausedUntil) {
    schedule(entry.PausedUntil, [this, key, failed] { fail(key, failed); });
    return;
  }
  call.AwaitingOutcome = false;
  entry.Selector->onRequestFinished(call.Tried.back());
  failed.Account = AccountId{"a"};
  failed.Service = Service;
  failed.Rule = call.Rule;
  failed.Attempt = key.Attempt;
  failed.PriorRefusals = call.PriorRefusals;
  failed.Deadline = call.Deadline;
  const auto verdict = entry.Retries->decide(failed, atMs(Now));
  if (verdict.Next == RetryVerdict::Action::Requeue) {
    ++call.PriorRefusals;
    wait(key.Request);
    return;
  }
  if (verdict.Next == RetryVerdict::Action::Retry) {
    ++Retried;
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
  load.DaemonIncarnation = Incarnation{target.ProcessIncarnation};
  load.Sequence = ++target.LoadSequence;
  const auto grants = target.Admission->issueGrants(atMs(Now));
  load.SlotsUsed =
      target.Admission->usedSlots() + target.Admission->grantedSlots();
  load.SlotLimit = target.Admission->slotLimit(atMs(Now));
  load.Warm = target.Admission->ramp().isWarm();
  load.Contended = target.Admission->isContended();
  load.ReportedAt = atMs(Now);
  for (std::size_t i = 0; i < Entries.size(); ++i)
    send([this, i, index, load, id = target.Id] {
      Entries[i].Selector->setLoad(id, load);
      const double waiting = Entries[i].WaitingCount / 6.0;
      send([this, i, index, waiting,
            processIncarnation = load.DaemonIncarnation.Value] {
        if (Targets[index].ProcessIncarnation == processIncarnation)
          Targets[index].Admission->setWaiting(Entries[i].Id, waiting);
      });
    });
  sendGrants(index, grants);
}

void FaultModel::sendGrants(std::size_t index,
                            const std::vector<EntryGrant> &grants) {
  const Target &target = Targets[index];
  // The grants of all entries together never exceed what the target can take.
  if (!grants.empty())
    REQUIRE(target.Admission->usedSlots() + target.Admission->grantedSlots() <=
            target.Admission->slotLimit(atMs(Now)));
  for (const auto &it : grants)
    send([this, it, id = target.Id,
          processIncarnation = target.ProcessIncarnation] {
      for (auto &entry : Entries)
        if (entry.Id == it.Entry)
          entry.Selector->addGrant(id, Incarnation{processIncarnation},
                                   it.IssuedGrant);
    });
}

void FaultModel::readLoad(std::size_t index) {
  Target &target = Targets[index];
  const LoadReport report{Incarnation{target.EngineIncarnation},
                          static_cast<std::uint32_t>(target.Running.size()),
                          10 * target.Running.size(),
                          0,
                          FaultsEnabled && chance(0.02),
                          atMs(Now)};
  schedule(
      Now + static_cast<std::int64_t>(
                randomBelow(Random, FaultsEnabled ? 1500 : 20)),
      [this, index, report, processIncarnation = target.ProcessIncarnation] {
        if (Targets[index].ProcessIncarnation == processIncarnation)
          Targets[index].Admission->addReport(report, atMs(Now));
      });
}

} // namespace bergamot::routing::testing
