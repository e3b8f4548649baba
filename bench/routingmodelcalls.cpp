#include "routingmodel.h"

namespace bergamot::bench {

namespace {

const ServiceId ModelService{"s"};
constexpr std::int64_t LinkMs = 2;

} // namespace

void RoutingModel::scheduleArrival(std::size_t account) {
  const double gap =
      -std::log(unit()) * 1000 / Settings.Accounts[account].RequestsPerSecond;
  // Gaps below a millisecond are kept by their remainder in the mean.
  const double whole = std::floor(gap + unit());
  at(Now + static_cast<std::int64_t>(whole),
     [this, account] { arrive(account); });
}

void RoutingModel::arrive(std::size_t account) {
  scheduleArrival(account);
  const std::size_t id = Calls.size();
  Calls.emplace_back();
  Call &call = Calls.back();
  call.Entry = Random() % Entries.size();
  call.Outcome.Account = account;
  call.Outcome.ArrivedMs = Now;
  call.Outcome.Idempotent = unit() < Settings.IdempotentPart;
  Entry &entry = Entries[call.Entry];
  const AccountLoad &load = Settings.Accounts[account];
  entry.Retries->addRequest(load.Id, ModelService);
  if (Settings.IsNaive) {
    entry.Waiting.push_back(id);
    pump(call.Entry);
    return;
  }
  QueuedRequest queued;
  queued.Request = RequestId{std::to_string(id)};
  queued.Account = load.Id;
  queued.Weight = load.Weight;
  queued.Deadline = time(Now + Settings.DeadlineMs);
  queued.ExpectedServiceTime = std::chrono::milliseconds(
      static_cast<std::int64_t>(1.5 * Settings.HoldMs) + 10);
  const auto verdict = entry.Queue->add(queued, time(Now));
  if (verdict.Evicted)
    end(std::stoul(verdict.Evicted->Value), false, Executed::No);
  if (verdict.Reason != Refusal::None)
    end(id, false, Executed::No);
  else
    pump(call.Entry);
}

std::optional<std::size_t> RoutingModel::nextWaiting(Entry &entry) {
  if (!entry.Waiting.empty()) {
    const std::size_t id = entry.Waiting.front();
    entry.Waiting.pop_front();
    return id;
  }
  if (Settings.IsNaive)
    return std::nullopt;
  const auto next = entry.Queue->removeNext(time(Now));
  return next ? std::optional(std::stoul(next->Value)) : std::nullopt;
}

void RoutingModel::pump(std::size_t index) {
  Entry &entry = Entries[index];
  while (const auto id = nextWaiting(entry)) {
    const Call &call = Calls[*id];
    if (Now >= call.Outcome.ArrivedMs + Settings.DeadlineMs) {
      end(*id, false, Executed::No);
      continue;
    }
    if (!dispatch(*id)) {
      entry.Waiting.push_front(*id);
      return;
    }
  }
}

std::optional<std::size_t> RoutingModel::roundRobin(Entry &entry,
                                                    const Call &call) {
  const auto most = static_cast<std::uint32_t>(
      (Settings.Slots + Entries.size() - 1) / Entries.size());
  for (std::size_t i = 0; i < Targets.size(); ++i) {
    const std::size_t n = entry.NextTarget++ % Targets.size();
    if (entry.Usable[n] && entry.InFlight[n] < most &&
        std::find(call.Tried.begin(), call.Tried.end(), Targets[n].Id) ==
            call.Tried.end())
      return n;
  }
  return std::nullopt;
}

bool RoutingModel::dispatch(std::size_t id) {
  Call &call = Calls[id];
  Entry &entry = Entries[call.Entry];
  AdmissionRequest request;
  if (Settings.IsNaive) {
    const auto n = roundRobin(entry, call);
    if (!n)
      return false;
    call.Target = *n;
    ++entry.InFlight[*n];
  } else {
    SelectionRequest wanted;
    wanted.Units = 1;
    wanted.Tried = call.Tried;
    const auto chosen = entry.Selector->choose(ModelService, wanted, time(Now));
    if (chosen.Reason != Refusal::None)
      return false;
    call.Target = std::stoul(chosen.Target.Value.substr(1));
    request.UsedGrant = chosen.UsedGrant;
  }
  ++call.Attempt.Value;
  call.Open = true;
  call.Tried.push_back(Targets[call.Target].Id);
  const AccountLoad &load = Settings.Accounts[call.Outcome.Account];
  request.Key = {RequestId{std::to_string(id)}, call.Attempt};
  request.Entry = entry.Id;
  request.Account = load.Id;
  request.Weight = load.Weight;
  request.Units = 1;
  request.Deadline = time(call.Outcome.ArrivedMs + Settings.DeadlineMs);
  at(Now + LinkMs, [this, id, attempt = call.Attempt.Value, n = call.Target,
                    life = Targets[call.Target].Life,
                    request] { receive(id, attempt, n, life, request); });
  return true;
}

void RoutingModel::receive(std::size_t id, std::uint32_t attempt,
                           std::size_t index, std::uint64_t life,
                           const AdmissionRequest &request) {
  Target &target = Targets[index];
  if (!target.Alive || life != target.Life)
    return;
  if (!Settings.IsNaive) {
    const auto verdict = target.Admission->admit(request, time(Now));
    if (!verdict.isAdmitted()) {
      at(Now + LinkMs, [this, id, attempt, verdict, index] {
        Entries[Calls[id].Entry].Selector->setRefused(
            Targets[index].Id, time(Now) + verdict.RetryAfter);
        fail(id, attempt, verdict.WasExecuted, false);
      });
      return;
    }
  }
  start(id, attempt, index);
}

void RoutingModel::start(std::size_t id, std::uint32_t attempt,
                         std::size_t index) {
  Target &target = Targets[index];
  ++Calls[id].Outcome.Executions;
  ++Started;
  if (GoneDomain == target.Domain)
    LastRemovedStartMs = Now;
  const std::uint32_t most = canTake(target);
  ++target.Running;
  double hold = Settings.HoldMs * (0.5 + unit());
  if (target.Running > most) {
    ++StartedAbove;
    target.Above = true;
    hold *= static_cast<double>(target.Running) / most;
  }
  at(Now + static_cast<std::int64_t>(hold), [this, id, attempt, index, hold,
                                             life = target.Life,
                                             backEnd = target.BackEndLife] {
    Target &ended = Targets[index];
    if (life != ended.Life || backEnd != ended.BackEndLife)
      return;
    --ended.Running;
    ++ended.Completed;
    const AttemptKey key{RequestId{std::to_string(id)}, AttemptNumber{attempt}};
    ended.Admission->recordResult(
        key, {Executed::Yes, true, fromSeconds(hold / 10000)}, time(Now));
    if (!Settings.IsNaive)
      sendGrants(index, ended.Admission->issueFreedGrants(time(Now)));
    at(Now + LinkMs, [this, id, attempt] { answer(id, attempt); });
  });
}

void RoutingModel::answer(std::size_t id, std::uint32_t attempt) {
  Call &call = Calls[id];
  if (!call.Open || call.Attempt.Value != attempt)
    return;
  call.Open = false;
  Entry &entry = Entries[call.Entry];
  entry.InFlight[call.Target] -= Settings.IsNaive ? 1 : 0;
  entry.Selector->onRequestFinished(Targets[call.Target].Id);
  end(id, true, Executed::Yes);
  pump(call.Entry);
}

void RoutingModel::fail(std::size_t id, std::uint32_t attempt, Executed outcome,
                        bool bytesSent) {
  Call &call = Calls[id];
  if (!call.Open || call.Attempt.Value != attempt)
    return;
  call.Open = false;
  Entry &entry = Entries[call.Entry];
  entry.InFlight[call.Target] -= Settings.IsNaive ? 1 : 0;
  entry.Selector->onRequestFinished(Targets[call.Target].Id);
  RetryCandidate failed;
  failed.Account = Settings.Accounts[call.Outcome.Account].Id;
  failed.Service = ModelService;
  failed.Rule = call.Outcome.Idempotent ? RequestIdempotency::Idempotent
                                        : RequestIdempotency::NonIdempotent;
  failed.Attempt = call.Attempt;
  failed.Outcome = outcome;
  failed.MayHaveSentBytes = bytesSent;
  failed.Deadline = time(call.Outcome.ArrivedMs + Settings.DeadlineMs);
  failed.PriorRefusals = call.RefusedBefore;
  // The naive version repeats everything up to three times.
  const auto next =
      Settings.IsNaive
          ? RetryVerdict{call.Attempt.Value < 3 ? RetryVerdict::Action::Retry
                                                : RetryVerdict::Action::GiveUp,
                         outcome}
          : entry.Retries->decide(failed, time(Now));
  if (next.Next == RetryVerdict::Action::GiveUp)
    end(id, false, next.Outcome);
  else
    entry.Waiting.push_back(id);
  call.RefusedBefore += next.Next == RetryVerdict::Action::Requeue;
  pump(call.Entry);
}

void RoutingModel::end(std::size_t id, bool answered, Executed stated) {
  Call &call = Calls[id];
  if (call.Ended)
    return;
  call.Ended = true;
  call.Outcome.EndedMs = Now;
  call.Outcome.Answered = answered;
  call.Outcome.Stated = stated;
  Outcomes.push_back(call.Outcome);
}

} // namespace bergamot::bench
