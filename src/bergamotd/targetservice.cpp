#include "bergamotd/targetservice.h"

#include "bergamotd/auditrecords.h"
#include "bergamotd/refusalmessage.h"
#include "bergamotd/respond.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bergamot::bergamotd {

namespace fb = wire::fb;
using std::chrono::steady_clock;

namespace {

routing::AttemptKey keyOf(const TargetJob &job) {
  return {base::RequestId{job.request()}, base::AttemptNumber{job.attempt()}};
}

std::uint32_t toMilliseconds(base::Duration span) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(span).count());
}

} // namespace

TargetService::TargetService(TargetOptions options, ConfigStore &store,
                             base::Metrics &metrics, AuditWriter &audit)
    : Options(std::move(options)), Store(store), Metrics(metrics), Audit(audit),
      BackEnd(Options.BackEndEndpoint), Workers(Options.WorkerThreads),
      Probe(
          BackEnd, Options.LoadPollInterval,
          [this](const routing::LoadReport &report) { addReport(report); },
          [this](const std::string &detail) { setBackEndDown(detail); }) {
  Store.addListener(
      [this](const ActiveConfigPtr &active) { applyConfig(active); });
}

TargetService::~TargetService() {
  Probe.stop();
  Workers.stop();
}

void TargetService::applyConfig(const ActiveConfigPtr &active) {
  const auto *target = active->Index.target(Options.Target.Value);
  const auto *service = target != nullptr
                            ? active->Index.service(target->Service.Value)
                            : nullptr;
  const std::lock_guard lock(AdmissionMutex);
  if (service == nullptr) {
    recordState(active->Version, {LastState.IsDomainRemoved, true});
    if (Admission)
      Admission->setDraining(true);
    return;
  }
  if (!Admission) {
    routing::AdmissionSettings settings;
    settings.Warmup.ColdLimit = service->Limits.ColdSlots;
    settings.Warmup.FullLimit = service->Limits.Slots;
    settings.Warmup.MaxTimeToFirstToken = service->Limits.FirstTokenBound;
    settings.MaxUnits = service->Limits.Units;
    Admission.emplace(settings);
    SlotsLimit = service->Limits.Slots;
    UnitsLimit = service->Limits.Units;
  }
  const auto *domain = active->Index.failureDomain(target->Domain.Value);
  const bool isRemoved =
      domain == nullptr || domain->State == config::DomainState::Removed;
  const bool isLeaving = target->State == config::TargetState::Leaving;
  recordState(active->Version, {isRemoved, isLeaving});
  Admission->setDomainRemoved(isRemoved);
  Admission->setDraining(IsDraining || isLeaving);
  base::logDecision("target.state", {{"target", Options.Target.Value},
                                     {"config_version", active->Version.Value},
                                     {"domain_removed", isRemoved},
                                     {"leaving", isLeaving}});
}

void TargetService::recordState(base::ConfigVersion version,
                                const TargetState &now) {
  if (std::exchange(LastState, now) != now)
    Audit.add(targetStateRecord(Options.Target, version, now.IsDomainRemoved,
                                now.IsLeaving));
}

void TargetService::addMessage(const adapterpeer::PeerSessionPtr &session,
                               wire::Envelope message) {
  if (wire::payloadAs<fb::DispatchT>(message) != nullptr) {
    startDispatch(session, std::move(message));
    return;
  }
  if (const auto *heartbeat = wire::payloadAs<fb::HeartbeatT>(message)) {
    const std::lock_guard lock(AdmissionMutex);
    if (Admission)
      Admission->setWaiting(session->peer().Vm, heartbeat->waiting);
    return;
  }
  std::shared_ptr<TargetJob> job;
  {
    const std::lock_guard lock(JobsMutex);
    const auto it = Jobs.find({base::RequestId{message.request},
                               base::AttemptNumber{message.attempt}});
    if (it == Jobs.end() || it->second->session() != session)
      return;
    job = it->second;
  }
  if (const auto *window = wire::payloadAs<fb::WindowT>(message))
    job->setWindow(window->received_up_to);
  else if (wire::payloadAs<fb::CancelT>(message) != nullptr)
    job->cancel();
}

void TargetService::startDispatch(const adapterpeer::PeerSessionPtr &session,
                                  wire::Envelope message) {
  auto job = std::make_shared<TargetJob>(std::move(message), session, BackEnd,
                                         Options.Job, steady_clock::now());
  const auto verdict = admit(*job, session);
  if (!verdict.isAdmitted()) {
    refuse(*job, verdict);
    return;
  }
  {
    const std::lock_guard lock(JobsMutex);
    Jobs[keyOf(*job)] = job;
  }
  Workers.addTask([this, job] { runJob(job); });
}

routing::AdmissionVerdict
TargetService::admit(const TargetJob &job,
                     const adapterpeer::PeerSessionPtr &session) {
  const auto active = Store.active();
  const auto &dispatch = job.dispatch();
  routing::AdmissionRequest request;
  request.Key = keyOf(job);
  request.Entry = session->peer().Vm;
  request.Account = base::AccountId{dispatch.account};
  const auto *account =
      active ? active->Index.account(dispatch.account) : nullptr;
  request.Weight = account != nullptr ? account->Weight : 1;
  request.Priority = dispatch.priority;
  request.Units = dispatch.reserved_units;
  request.Deadline = job.deadline();
  if (dispatch.grant != 0)
    request.UsedGrant = routing::GrantId{dispatch.grant};
  const std::lock_guard lock(AdmissionMutex);
  if (!Admission || !IsBackEndUp)
    return {routing::Refusal::NotReady, routing::Executed::No,
            std::chrono::seconds(1)};
  return Admission->admit(request, steady_clock::now());
}

void TargetService::refuse(const TargetJob &job,
                           const routing::AdmissionVerdict &verdict) {
  Metrics.addCount("bergamot_target_refused_total",
                   std::string("reason=\"") +
                       routing::refusalName(verdict.Reason) + "\"");
  base::logDecision("target.refuse",
                    {{"request", job.request()},
                     {"attempt", job.attempt()},
                     {"account", job.dispatch().account},
                     {"units", job.dispatch().reserved_units},
                     {"reason", routing::refusalName(verdict.Reason)}});
  if (verdict.Reason == routing::Refusal::Duplicate)
    return; // The first copy will be answered.
  auto message = refusalMessage(verdict);
  message.request = job.request();
  message.attempt = job.attempt();
  job.session()->send(std::move(message));
}

void TargetService::runJob(const std::shared_ptr<TargetJob> &job) {
  const JobResult result = job->run();
  finishJob(*job, result);
  const std::lock_guard lock(JobsMutex);
  Jobs.erase(keyOf(*job));
}

void TargetService::finishJob(const TargetJob &job, const JobResult &result) {
  routing::AttemptResult completion;
  completion.TimeToFirstToken = result.FirstByte;
  completion.InTime = result.IsComplete && steady_clock::now() < job.deadline();
  if (result.Executed == fb::Executed::No)
    completion.Outcome = routing::Executed::No;
  else if (result.Executed == fb::Executed::Unknown)
    completion.Outcome = routing::Executed::Unknown;
  const auto now = steady_clock::now();
  routing::RampChange change;
  std::vector<routing::EntryGrant> freed;
  {
    const std::lock_guard lock(AdmissionMutex);
    change = Admission->recordResult(keyOf(job), completion, now);
    freed = Admission->issueFreedGrants(now);
  }
  sendGrants(freed, now);
  logRamp(change);
  Metrics.addLatency("bergamot_target_first_byte_seconds", "",
                     result.FirstByte);
  base::logDecision("target.done", {{"request", job.request()},
                                    {"attempt", job.attempt()},
                                    {"account", job.dispatch().account},
                                    {"status", result.Status},
                                    {"bytes", result.Bytes},
                                    {"complete", result.IsComplete},
                                    {"parked", result.IsParked},
                                    {"detail", result.Detail}});
}

void TargetService::logRamp(routing::RampChange change) {
  const char *cause = nullptr;
  switch (change) {
  case routing::RampChange::None:
  case routing::RampChange::Grown:
    return;
  case routing::RampChange::NewIncarnation:
    cause = "new incarnation";
    break;
  case routing::RampChange::ColdReported:
    cause = "cold reported";
    break;
  case routing::RampChange::SlowFirstTokens:
    cause = "slow first tokens";
    break;
  }
  base::logDecision("target.cold",
                    {{"target", Options.Target.Value}, {"cause", cause}});
  Audit.add(creditLimitRecord(Options.Target, cause, load().slots_limit));
}

void TargetService::sessionOpened(const adapterpeer::PeerSessionPtr &session) {
  const std::lock_guard lock(JobsMutex);
  Sessions.insert(session);
}

void TargetService::handle(const adapterhttp::HttpRequest & /*http*/,
                           adapterhttp::HttpResponder &responder) {
  respondWithProblem(responder,
                     ProblemError(404, base::Step::Route, Options.Target.Value,
                                  "callers use an entry"));
}

fb::HeartbeatT TargetService::makeHeartbeat(
    const adapterpeer::PeerSessionPtr & /*session*/) const {
  fb::HeartbeatT heartbeat;
  heartbeat.load = std::make_unique<fb::TargetLoadT>(load());
  return heartbeat;
}

void TargetService::sessionLost(const adapterpeer::PeerSessionPtr &session,
                                const std::string & /*detail*/) {
  std::vector<std::shared_ptr<TargetJob>> lost;
  {
    const std::lock_guard lock(JobsMutex);
    Sessions.erase(session);
    for (const auto &[key, job] : Jobs)
      if (job->session() == session)
        lost.push_back(job);
  }
  for (const auto &job : lost)
    job->cancel();
  const std::lock_guard lock(AdmissionMutex);
  if (Admission)
    Admission->removeEntry(session->peer().Vm);
}

fb::TargetLoadT TargetService::load() const {
  const std::lock_guard lock(AdmissionMutex);
  fb::TargetLoadT load;
  load.target = Options.Target.Value;
  load.back_end_up = IsBackEndUp;
  load.back_end_incarnation = Report.BackEndIncarnation.Value;
  load.cold = Report.Cold;
  load.draining = IsDraining;
  if (Admission) {
    load.slots_limit = Admission->slotLimit(steady_clock::now());
    // What is granted may be used at any moment.
    load.slots_used = Admission->usedSlots() + Admission->grantedSlots();
    load.warm = Admission->ramp().isWarm();
    load.contended = Admission->isContended();
    load.units_limit = UnitsLimit;
    load.units_used = Admission->usedUnits();
  }
  return load;
}

void TargetService::tick() {
  std::set<adapterpeer::PeerSessionPtr> sessions;
  {
    const std::lock_guard lock(JobsMutex);
    sessions = Sessions;
  }
  const auto now = steady_clock::now();
  std::vector<routing::EntryGrant> grants;
  {
    const std::lock_guard lock(AdmissionMutex);
    if (!Admission)
      return;
    for (const auto &session : sessions)
      Admission->addEntry(session->peer().Vm);
    grants = Admission->issueGrants(now);
  }
  sendGrants(grants, now);
}

void TargetService::sendGrants(const std::vector<routing::EntryGrant> &grants,
                               base::TimePoint now) {
  if (grants.empty())
    return;
  std::set<adapterpeer::PeerSessionPtr> sessions;
  {
    const std::lock_guard lock(JobsMutex);
    sessions = Sessions;
  }
  for (const auto &grant : grants) {
    fb::GrantT message;
    message.id = grant.IssuedGrant.Id.Value;
    message.slots = grant.IssuedGrant.Slots;
    message.units = grant.IssuedGrant.Units;
    message.valid_ms = toMilliseconds(grant.IssuedGrant.Expiry - now);
    for (const auto &session : sessions)
      if (session->peer().Vm == grant.Entry)
        session->send(wire::makeEnvelope(message));
  }
}

void TargetService::setDraining() {
  const std::lock_guard lock(AdmissionMutex);
  IsDraining = true;
  if (Admission)
    Admission->setDraining(true);
}

std::size_t TargetService::activeCount() const {
  const std::lock_guard lock(JobsMutex);
  return Jobs.size();
}

bool TargetService::isReady() const {
  const std::lock_guard lock(AdmissionMutex);
  return Admission.has_value() && IsBackEndUp && !IsDraining;
}

void TargetService::addReport(const routing::LoadReport &report) {
  routing::RampChange change = routing::RampChange::None;
  {
    const std::lock_guard lock(AdmissionMutex);
    IsBackEndUp = true;
    Report = report;
    if (Admission)
      change = Admission->addReport(report, steady_clock::now());
    // An engine reports that it is cold until it has warmed up.
    if (std::exchange(WasCold, report.Cold) &&
        change == routing::RampChange::ColdReported)
      change = routing::RampChange::None;
  }
  logRamp(change);
}

void TargetService::setBackEndDown(const std::string &detail) {
  const std::lock_guard lock(AdmissionMutex);
  if (std::exchange(IsBackEndUp, false))
    base::logWarning("target.back_end_down", {{"target", Options.Target.Value},
                                              {"peer", Options.BackEndEndpoint},
                                              {"detail", detail}});
}

} // namespace bergamot::bergamotd
