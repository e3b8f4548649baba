#include "bergamotd/entryservice.h"

#include "bergamotd/auditrecords.h"
#include "bergamotd/respond.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bergamot::bergamotd {

using adapterhttp::HttpRequest;
using adapterhttp::HttpResponder;
using base::Step;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds DrainingRetryAfter{1000};

/// Counts a call while it is served.
class ActiveCall {
public:
  explicit ActiveCall(std::atomic<std::size_t> &count) : Count(count) {
    ++Count;
  }
  ~ActiveCall() { --Count; }
  ActiveCall(const ActiveCall &) = delete;
  ActiveCall &operator=(const ActiveCall &) = delete;

private:
  std::atomic<std::size_t> &Count;
};

/// Gives the place of an admitted call back at its end.
class AdmittedPlace {
public:
  AdmittedPlace(QuotaExchange &quota, const base::AccountId &account)
      : Quota(quota), Account(account) {}
  ~AdmittedPlace() { Quota.setFinished(Account); }
  AdmittedPlace(const AdmittedPlace &) = delete;
  AdmittedPlace &operator=(const AdmittedPlace &) = delete;

private:
  QuotaExchange &Quota;
  const base::AccountId &Account;
};

} // namespace

EntryService::EntryService(EntryOptions options, ConfigStore &store,
                           base::Metrics &metrics, AuditWriter &audit)
    : Options(std::move(options)), Store(store), Metrics(metrics), Audit(audit),
      Targets(Options.Vm, Options.Domain, Options.Incarnation.Value),
      Memory(Options.AnswerBytes, Options.StallTime),
      Claims(Options.Vm, Options.Incarnation, Options.PlatformEndpoint),
      Quota(Options.Vm, Options.Incarnation), Vms(Options.PlatformEndpoint) {
  Store.addListener([this](const ActiveConfigPtr &active) {
    Targets.applyConfig(active);
    Quota.applyConfig(active);
    Vms.start();
    Claims.start(active->config().Deployment.IdempotencyWindow);
  });
}

void EntryService::handle(const HttpRequest &http, HttpResponder &responder) {
  const ActiveCall active(Active);
  try {
    if (IsDraining)
      throw ProblemError(503, Step::Admit, "", "this entry is shutting down")
          .retryAfter(DrainingRetryAfter);
    if (http.Path == "/v1/models")
      listModels(http, responder);
    else
      handleCall(http, responder);
  } catch (const ProblemError &e) {
    Metrics.addCount("bergamot_entry_problems_total",
                     "status=\"" + std::to_string(e.status()) + "\"");
    base::logDecision("call.refuse",
                      {{"path", http.Path},
                       {"status", e.status()},
                       {"step", base::stepName(e.step())},
                       {"peer", e.peer()},
                       {"detail", e.what()},
                       {"executed", executedName(e.executed())}});
    respondWithProblem(responder, e);
  }
}

ActiveConfigPtr EntryService::requireConfig() const {
  auto active = Store.active();
  if (!active)
    throw ProblemError(503, Step::Configuration, "",
                       "no configuration is known yet")
        .retryAfter(DrainingRetryAfter);
  return active;
}

base::RequestId EntryService::nextRequestId() {
  return {Options.Vm.Value + "-" + std::to_string(Options.Incarnation.Value) +
          "-" + std::to_string(++LastRequest)};
}

void EntryService::handleCall(const HttpRequest &http,
                              HttpResponder &responder) {
  const auto started = steady_clock::now();
  const auto active = requireConfig();
  const auto call = parseCallerRequest(http, *active, Options.Limits,
                                       nextRequestId(), started);
  Quota.admit(call.Account, call.Deadline);
  const AdmittedPlace place(Quota, call.Account);
  runCall(call, responder, started);
}

void EntryService::runCall(const CallerRequest &call, HttpResponder &responder,
                           base::TimePoint started) {
  const CallContext context{Targets, Requests, Memory, Room, Retries, Metrics};
  if (call.IsIdempotent || call.IdempotencyKey.empty()) {
    CallRunner runner(context, call, responder, nullptr);
    logDone(call, runner.run(), started);
    return;
  }
  ClaimedCall claimed(Claims, call, Audit);
  if (!claimed.start(responder))
    return;
  CallRunner runner(context, call, responder, &claimed);
  logDone(call, runClaimed(runner, claimed), started);
}

CallResult EntryService::runClaimed(CallRunner &runner, ClaimedCall &claimed) {
  try {
    CallResult result = runner.run();
    claimed.setDone(result);
    return result;
  } catch (const ProblemError &e) {
    claimed.setFailed(e);
    throw;
  }
}

void EntryService::logDone(const CallerRequest &call, const CallResult &result,
                           base::TimePoint started) {
  const auto elapsed = steady_clock::now() - started;
  Audit.add(routeRecord(call, result, elapsed));
  Metrics.addCount("bergamot_entry_calls_total",
                   "service=\"" + call.Service.Value + "\"");
  Metrics.addLatency("bergamot_entry_call_seconds",
                     "service=\"" + call.Service.Value + "\"", elapsed);
  base::logDecision(
      "call.done",
      {{"request", call.Request.Value},
       {"caller_request", call.CallerRequestId},
       {"account", call.Account.Value},
       {"service", call.Service.Value},
       {"status", result.Status},
       {"bytes", result.Bytes},
       {"attempts", result.Attempts},
       {"complete", result.IsComplete},
       {"client_gone", result.IsClientGone},
       {"executed", executedName(result.ExecutedState)},
       {"ms", std::chrono::duration<double, std::milli>(elapsed).count()}});
}

void EntryService::listModels(const HttpRequest &http,
                              HttpResponder &responder) const {
  const auto active = requireConfig();
  authenticate(http, *active);
  nlohmann::json data = nlohmann::json::array();
  for (const auto &service : active->config().Services)
    for (const auto &model : service.Models)
      data.push_back(
          {{"id", model}, {"object", "model"}, {"owned_by", service.Id.Value}});
  responder.respond(200, {{"Content-Type", "application/json"}},
                    nlohmann::json({{"object", "list"}, {"data", data}}).dump(),
                    steady_clock::now() + ShortResponseTimeout);
}

void EntryService::addMessage(const adapterpeer::PeerSessionPtr &session,
                              const wire::Envelope &message) {
  if (!message.request.empty())
    Requests.addMessage(session, message);
  else
    Targets.addMessage(session, message);
  Quota.addMessage(session, message);
  Vms.addMessage(session, message);
}

std::set<std::string> EntryService::endpoints() const {
  auto result = Targets.endpoints();
  result.merge(Quota.endpoints());
  return result;
}

void EntryService::sessionOpened(const adapterpeer::PeerSessionPtr &session) {
  Quota.sessionOpened(session);
  Targets.sessionOpened(session);
}

void EntryService::sessionLost(const adapterpeer::PeerSessionPtr &session,
                               const std::string &detail) {
  Quota.sessionLost(session);
  Targets.sessionLost(session);
  Requests.sessionLost(session, detail);
}

wire::fb::HeartbeatT
EntryService::makeHeartbeat(const adapterpeer::PeerSessionPtr &session) const {
  wire::fb::HeartbeatT heartbeat;
  const auto service = Targets.serviceOf(session);
  if (!service)
    return heartbeat;
  const auto count = std::max<std::size_t>(1, Targets.eligibleCount(*service));
  heartbeat.waiting = static_cast<float>(Room.waitingCount(*service)) /
                      static_cast<float>(count);
  return heartbeat;
}

void EntryService::tick() {
  Targets.tick();
  const auto active = Store.active();
  if (!active)
    return;
  std::vector<base::TargetId> unusable;
  for (const auto &target : active->config().Targets)
    if (!Vms.isUsable(target.Vm))
      unusable.push_back(target.Id);
  Targets.setLeavingVms(unusable);
  for (const auto &gone : Vms.takeEndedIncarnations())
    Claims.setIncarnationEnded(gone.Vm, gone.Incarnation);
}

bool EntryService::isReady() const {
  return !IsDraining && Store.active() != nullptr &&
         Targets.connectedCount() > 0;
}

} // namespace bergamot::bergamotd
