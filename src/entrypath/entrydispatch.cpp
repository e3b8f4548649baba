// The part of Entry that schedules requests: queueing and the choice of a
// target.
#include "entrypath/entry.h"
#include "entrypath/exchange.h"
#include "libbergamotbase/jsonlog.h"
#include "libbergamotgateway/targetexplanation.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamot::entrypath {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

/// How long an interrupted stream may be queued for another target: callers
/// disconnect after a gap of two seconds.
constexpr milliseconds MaxResumeWait{1500};

bool wasSentBefore(const Exchange &exchange) {
  return exchange.hasResponseStarted() || !exchange.failedTargets().empty();
}

} // namespace

ServiceState &Entry::service(const std::string &serviceName) {
  const auto [it, added] =
      Services.try_emplace(serviceName, Settings.Retries, Settings.StartedAt);
  if (added)
    updateWaitSettings(serviceName, it->second);
  return it->second;
}

void Entry::updateWaitSettings(const std::string &serviceName,
                               ServiceState &state) {
  state.Queue.setSettings({ServicesByPriority.contains(serviceName),
                           ServicesWithFairAccounts.contains(serviceName)});
}

std::uint32_t
Entry::requestPriority(const std::string &serviceName,
                       const gateway::Route &route,
                       const gateway::ClientAccount *account) const {
  return ServicesByPriority.contains(serviceName)
             ? gateway::competingPriority(route, account)
             : gateway::requestPriority(route, account);
}

std::size_t Entry::queuedCount(const std::string &serviceName) {
  return service(serviceName).Queue.size();
}

gateway::WaitLimits Entry::waitLimits(const Exchange &exchange) const {
  if (!exchange.hasResponseStarted())
    return gateway::waitLimits(exchange.route(), exchange.times());
  const TimePoint until = std::min(exchange.deadline(), now() + MaxResumeWait);
  return {until, until};
}

gateway::QueueState Entry::queueState(const std::string &serviceName,
                                      ServiceState &state) {
  const TimePoint at = now();
  gateway::QueueState queue{
      state.Queue.onTimeCount(),  state.Queue.lateCount(),
      state.Dispatched.count(at), state.OnTimeArrivals.count(at),
      isStalled(serviceName),     Scheduler.slotShare(serviceName, at)};
  Scheduler.addTargetLimits(serviceName, queue, at);
  if (queue.Stalled)
    state.StalledAt = at;
  if (state.Queue.settings().CountsByPriority)
    gateway::addExpectedDispatches(queue, at - state.StalledAt,
                                   Scheduler.streamTime(serviceName));
  return queue;
}

void Entry::enqueue(const std::shared_ptr<Exchange> &exchange) {
  const std::string serviceName = exchange->service();
  const TimePoint at = now();
  ServiceState &state = service(serviceName);
  if (exchange->failedTargets().empty()) {
    state.Budget.addRequest(at);
    state.Queue.recordArrival(exchange->priority(), at);
    if (waitLimits(*exchange).OnTimeUntil > at)
      state.OnTimeArrivals.add(at);
  }
  if (admitPrompt(exchange))
    addToQueue(exchange);
}

void Entry::addToQueue(const std::shared_ptr<Exchange> &exchange) {
  const std::string serviceName = exchange->service();
  const TimePoint at = now();
  ServiceState &state = service(serviceName);
  const gateway::WaitLimits limits = waitLimits(*exchange);
  gateway::QueueState permitted;
  Scheduler.addTargetLimits(serviceName, permitted, at);
  if (at + permitted.NextSendIn > std::max(limits.ExpiresAt, at)) {
    exchange->rejectQueued(permitted.MaxRate ? "rate_limited" : "resting");
    return;
  }
  const bool mustQueue = !state.Queue.isEmpty() || !isStateCurrent();
  const bool isExempt =
      exchange->hasResponseStarted() ||
      (!exchange->failedTargets().empty() && isStalled(serviceName));
  const gateway::WaitingRequest request = waitingRequest(*exchange);
  const auto fits = [&] {
    gateway::QueueState queue = queueState(serviceName, state);
    queue.OnTimeAhead = state.Queue.onTimeAhead(request, at);
    return gateway::shouldEnqueue(limits, exchange->times(), queue, at);
  };
  if (!isExempt && mustQueue && !fits()) {
    exchange->rejectQueued(isStalled(serviceName) ? "standstill"
                           : permitted.MaxRate    ? "rate_limited"
                                                  : "overload");
    return;
  }
  state.QueuedExchanges.emplace(exchange->exchangeId(), exchange);
  state.Queue.add(request, at);
  processQueue(serviceName);
}

gateway::WaitingRequest Entry::waitingRequest(const Exchange &exchange) const {
  const gateway::WaitLimits limits = waitLimits(exchange);
  gateway::WaitingRequest request;
  request.SequenceNumber = exchange.exchangeId();
  request.Priority = exchange.hasResponseStarted() ? 0 : exchange.priority();
  request.ArrivedAt = exchange.arrivedAt();
  request.OnTimeUntil = limits.OnTimeUntil;
  request.ExpiresAt = limits.ExpiresAt;
  request.WasSentBefore = wasSentBefore(exchange);
  request.Account = exchange.account();
  return request;
}

void Entry::scheduleQueueProcessing(const std::string &serviceName) {
  ServiceState &state = service(serviceName);
  if (state.QueueProcessingPosted || state.Queue.isEmpty())
    return;
  state.QueueProcessingPosted = true;
  post([this, serviceName] {
    service(serviceName).QueueProcessingPosted = false;
    processQueue(serviceName);
  });
}

void Entry::processQueue(const std::string &serviceName) {
  ServiceState &state = service(serviceName);
  while (isStateCurrent() && dispatchNext(serviceName, state)) {
  }
  rejectExpired(serviceName, state);
}

bool Entry::isStalled(const std::string &serviceName) const {
  return Scheduler.isStalled(serviceName, now());
}

void Entry::rejectQueued(ServiceState &state, std::uint64_t exchangeId,
                         const char *reason) {
  state.Queue.remove(exchangeId);
  const auto queued = state.QueuedExchanges.extract(exchangeId);
  if (!queued.empty())
    queued.mapped()->rejectQueued(reason);
}

/// Rejects queued requests that no target can serve before their callers
/// disconnect.
void Entry::rejectExpired(const std::string &serviceName, ServiceState &state) {
  if (state.Queue.isEmpty())
    return;
  const TimePoint at = now();
  for (const auto &it : state.Queue.takeExpired(at))
    rejectQueued(state, it.SequenceNumber);
  for (const auto &it : state.Queue.demoteLate(at))
    if (!gateway::shouldStayQueued({it.OnTimeUntil, it.ExpiresAt},
                                   queueState(serviceName, state), at))
      rejectQueued(state, it.SequenceNumber);
  if (state.Queue.settings() == gateway::WaitSettings{})
    return;
  for (const auto &it :
       gateway::takeUnservable(state.Queue, queueState(serviceName, state), at))
    rejectQueued(state, it.SequenceNumber, "pushed_back");
}

bool Entry::dispatchNext(const std::string &serviceName, ServiceState &state) {
  const gateway::WaitingRequest *next = state.Queue.next();
  if (!next)
    return false;
  if (dispatch(state, next->SequenceNumber))
    return true;
  if (!isStalled(serviceName))
    return false;
  // The first request in the queue may have been refused before; one without
  // failed attempts probes whether a group makes progress again.
  const auto untried = std::find_if(
      state.QueuedExchanges.begin(), state.QueuedExchanges.end(),
      [](const auto &it) { return it.second->failedTargets().empty(); });
  return untried != state.QueuedExchanges.end() &&
         dispatch(state, untried->first);
}

/// Sends a queued request to the best target; returns false if none has a free
/// slot.
bool Entry::dispatch(ServiceState &state, std::uint64_t exchangeId) {
  const auto exchange = state.QueuedExchanges.at(exchangeId);
  if (!exchange->isPromptProbe() &&
      Suspects.verdict(exchange->promptParts(), now()) !=
          gateway::PromptVerdict::Free) {
    state.Queue.remove(exchangeId);
    state.QueuedExchanges.erase(exchangeId);
    post([this, exchange] {
      if (exchange->isQueued() && admitPrompt(exchange))
        addToQueue(exchange);
    });
    return true;
  }
  const gateway::DispatchTerms terms = dispatchTerms(*exchange);
  if (terms.IsLate && !maySendLate(terms.Service, state))
    return false;
  const gateway::Choice choice = Scheduler.choose(terms, drawUniform(), now());
  recordSlotView(exchange->service(), state, choice);
  const gateway::KnownTarget *target = choice.Target;
  if (!target)
    return false;
  state.Queue.removeSent(exchange->exchangeId(), now());
  state.QueuedExchanges.erase(exchange->exchangeId());
  state.Dispatched.add(now());
  if (terms.IsLate)
    state.LateDispatched.add(now());
  Scheduler.recordDispatch(*target, now());
  exchange->dispatchTo(*target);
  return true;
}

/// Returns whether another late request may be sent, where requests count by
/// priority.
bool Entry::maySendLate(const std::string &serviceName, ServiceState &state) {
  if (!state.Queue.settings().CountsByPriority)
    return true;
  const TimePoint at = now();
  gateway::QueueState queue;
  queue.OnTimeArrived = state.OnTimeArrivals.count(at);
  queue.SlotsOfThisEntry = Scheduler.slotShare(serviceName, at);
  return static_cast<double>(state.LateDispatched.count(at)) <
         gateway::lateRequestRate(queue, Scheduler.streamTime(serviceName));
}

/// Counts and logs which of the shared slots a request may use.
void Entry::recordSlotView(const std::string &serviceName, ServiceState &state,
                           const gateway::Choice &choice) {
  const gateway::SlotView &slots = choice.Slots;
  if (!slots.Shared)
    return;
  Metrics.addCount("bergamot_slot_claims_total",
                   std::string("claim=\"") + gateway::claimName(choice.Claim) +
                       "\"");
  if (std::exchange(state.SlotsContended, slots.Interval.Contended) ==
      slots.Interval.Contended)
    return;
  if (EventLog.admit("slots.contended", now()))
    base::logDecision("slots.contended",
                      {{"service", serviceName},
                       {"contended", slots.Interval.Contended},
                       {"isolated", slots.Interval.Isolated},
                       {"free", slots.FreeSlots},
                       {"left_to_others", slots.LeftToOthers},
                       {"reserved", slots.Reserved},
                       {"waiting", state.Queue.onTimeCount()},
                       {"share", slots.Interval.End - slots.Interval.Begin},
                       {"entries", Scheduler.slotSharing().entryCount()}});
}

gateway::RequestCounts Entry::takeReport() {
  std::map<std::string, gateway::WaitingCounts> waiting;
  for (const auto &[serviceName, state] : Services)
    if (!state.Queue.isEmpty())
      waiting[serviceName] = state.Queue.onTimeCounts();
  return Scheduler.takeReport(waiting);
}

gateway::DispatchTerms Entry::dispatchTerms(const Exchange &exchange) {
  gateway::DispatchTerms terms;
  terms.Service = exchange.service();
  terms.IsLate = !exchange.hasResponseStarted() &&
                 waitLimits(exchange).OnTimeUntil <= now() &&
                 !isStalled(terms.Service);
  // A request that probes whether a group makes progress may be refused and
  // then needs another dispatch.
  terms.MayProbe =
      exchange.failedTargets().empty() || exchange.dispatchesLeft() > 1;
  terms.MoreUrgentPerSecond = static_cast<double>(
      service(terms.Service)
          .Queue.moreUrgentArrivals(exchange.priority(),
                                    wasSentBefore(exchange)));
  terms.BusyTargets = exchange.busyTargets();
  terms.FailedTargets = exchange.failedTargets();
  return terms;
}

void Entry::withdraw(const Exchange &exchange) {
  ServiceState &state = service(exchange.service());
  state.Queue.remove(exchange.exchangeId());
  state.QueuedExchanges.erase(exchange.exchangeId());
}

bool Entry::hasFreeTarget(const Exchange &exchange) {
  return Scheduler.choose(dispatchTerms(exchange), drawUniform(), now())
             .Target != nullptr;
}

void Entry::removeExchange(Exchange &exchange, const char *outcome,
                           int status) {
  if (!exchange.service().empty()) {
    withdraw(exchange);
    if (status >= 200 && status <= 299)
      service(exchange.service()).Durations.add(now() - exchange.arrivedAt());
    scheduleQueueProcessing(exchange.service());
  }
  Metrics.addCount("bergamot_requests_total",
                   std::string("outcome=\"") + outcome + "\",status=\"" +
                       std::to_string(status) + "\"");
  Metrics.addLatency("bergamot_request_seconds", "",
                     now() - exchange.arrivedAt());
}

void Entry::addInFlight(const std::string &target) {
  Scheduler.loads().addLocalRequest(target);
}

void Entry::removeInFlight(const Exchange &exchange,
                           const std::string &target) {
  Scheduler.loads().removeLocalRequest(target);
  scheduleQueueProcessing(exchange.service());
}

/// Returns the number of entries by which the slack of the retry budget is
/// divided, if it is known: at least MinAssumedEntryCount, since some may have
/// been added just now.
std::optional<unsigned> Entry::budgetEntryCount() const {
  if (!AllEntriesKnown)
    return std::nullopt;
  return std::max(entryCount(), Settings.MinAssumedEntryCount);
}

bool Entry::hasRetryBudget(const std::string &serviceName) {
  return service(serviceName).Budget.canRetry(budgetEntryCount(), now());
}

bool Entry::consumeRetryBudget(const std::string &serviceName,
                               gateway::AttemptFailure failure) {
  const TimePoint at = now();
  const std::optional<unsigned> entries = budgetEntryCount();
  ServiceState &state = service(serviceName);
  const bool granted = state.Budget.takeRetry(entries, at);
  state.GrantedRetries += granted ? 1 : 0;
  const char *cause = gateway::failureName(failure);
  Metrics.addCount("bergamot_retries_total",
                   std::string("cause=\"") + cause + "\",granted=\"" +
                       (granted ? "true" : "false") + "\"");
  if (EventLog.admit("retry.budget", at)) {
    const gateway::RetryBudgetUsage used = state.Budget.usage(entries, at);
    base::logDecision("retry.budget",
                      {{"service", serviceName},
                       {"cause", cause},
                       {"granted", granted},
                       {"retries", used.Retries},
                       {"max_retries", used.MaxRetries},
                       {"entries", entries.value_or(0)},
                       {"granted_total", state.GrantedRetries}});
  }
  return granted;
}

} // namespace bergamot::entrypath
