// The part of Entry that schedules requests: queueing and the choice of a
// target.
#include "entrypath/entry.h"
#include "entrypath/exchange.h"
#include "libbergamotbase/jsonlog.h"

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

} // namespace

Entry::ServiceState &Entry::service(const std::string &serviceName) {
  return Services.try_emplace(serviceName, Settings).first->second;
}

std::size_t Entry::queuedCount(const std::string &serviceName) {
  return service(serviceName).Queue.size();
}

unsigned Entry::entryCount() const {
  return std::max(TargetLoads.liveEntryCount(), Shares.entryCount());
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
      isStalled(serviceName),     slotShare(serviceName)};
  addTargetLimits(serviceName, queue);
  return queue;
}

void Entry::enqueue(const std::shared_ptr<Exchange> &exchange) {
  const std::string serviceName = exchange->service();
  const TimePoint at = now();
  ServiceState &state = service(serviceName);
  if (exchange->failedTargets().empty()) {
    state.Budget.addRequest(at);
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
  addTargetLimits(serviceName, permitted);
  if (at + permitted.NextSendIn > std::max(limits.ExpiresAt, at)) {
    exchange->rejectQueued(permitted.MaxRate ? "rate_limited" : "resting");
    return;
  }
  const bool mustQueue = !state.Queue.isEmpty() || !isStateCurrent();
  const bool isExempt =
      exchange->hasResponseStarted() ||
      (!exchange->failedTargets().empty() && isStalled(serviceName));
  if (!isExempt && mustQueue &&
      !gateway::shouldEnqueue(limits, exchange->times(),
                              queueState(serviceName, state), at)) {
    exchange->rejectQueued(isStalled(serviceName) ? "standstill"
                           : permitted.MaxRate    ? "rate_limited"
                                                  : "overload");
    return;
  }
  state.QueuedExchanges.emplace(exchange->exchangeId(), exchange);
  state.Queue.add({exchange->exchangeId(),
                   exchange->hasResponseStarted() ? 0 : exchange->priority(),
                   exchange->arrivedAt(), limits.OnTimeUntil, limits.ExpiresAt},
                  at);
  processQueue(serviceName);
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

/// Returns whether the service has targets and none of them makes progress.
bool Entry::isStalled(const std::string &serviceName) const {
  bool hasGroups = false;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != serviceName || !isUsable(target))
      continue;
    const auto &membership = target.Record.Membership;
    if (!membership || Groups.isReady(membership->Group, now()))
      return false;
    hasGroups = true;
  }
  return hasGroups;
}

/// Returns this entry's share of the slots of a service's targets.
std::size_t Entry::slotShare(const std::string &serviceName) const {
  std::size_t totalSlots = 0;
  for (const auto &[id, target] : Directory.targets())
    if (target.Record.Service == serviceName && isUsable(target))
      totalSlots += requestLimit(target);
  return totalSlots / entryCount() + 1;
}

void Entry::rejectQueued(ServiceState &state, std::uint64_t exchangeId) {
  state.Queue.remove(exchangeId);
  const auto queued = state.QueuedExchanges.extract(exchangeId);
  if (!queued.empty())
    queued.mapped()->rejectQueued("no_capacity");
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
}

bool Entry::dispatchNext(const std::string &serviceName, ServiceState &state) {
  const gateway::WaitingRequest *next = state.Queue.next();
  if (!next)
    return false;
  if (dispatch(serviceName, state, next->SequenceNumber))
    return true;
  if (!isStalled(serviceName))
    return false;
  // The first request in the queue may have been refused before; one without
  // failed attempts probes whether a group makes progress again.
  const auto untried = std::find_if(
      state.QueuedExchanges.begin(), state.QueuedExchanges.end(),
      [](const auto &it) { return it.second->failedTargets().empty(); });
  return untried != state.QueuedExchanges.end() &&
         dispatch(serviceName, state, untried->first);
}

/// Sends a queued request to the best target; returns false if none has a free
/// slot.
bool Entry::dispatch(const std::string &serviceName, ServiceState &state,
                     std::uint64_t exchangeId) {
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
  const auto choices = candidates(serviceName, *exchange);
  const int chosen = gateway::chooseTarget(choices, drawUniform());
  if (chosen < 0)
    return false;
  const auto *target =
      Directory.target(choices[static_cast<std::size_t>(chosen)].Id);
  state.Queue.remove(exchange->exchangeId());
  state.QueuedExchanges.erase(exchange->exchangeId());
  DispatchesByTarget[target->Record.Id].add(now());
  RateLimits.recordSent(gateway::targetHash(target->Record.Id), now());
  state.Dispatched.add(now());
  if (target->Record.Membership)
    Groups.recordDispatch(target->Record.Membership->Group, now());
  exchange->dispatchTo(*target);
  return true;
}

std::vector<gateway::Candidate>
Entry::candidates(const std::string &serviceName, const Exchange &exchange) {
  const TimePoint at = now();
  const gateway::Service *service =
      Table ? Table->service(serviceName) : nullptr;
  const bool isLate = !exchange.hasResponseStarted() &&
                      waitLimits(exchange).OnTimeUntil <= at &&
                      !isStalled(serviceName);
  // A request that probes whether a group makes progress may be refused and
  // then needs another dispatch.
  const bool mayProbe =
      exchange.failedTargets().empty() || exchange.dispatchesLeft() > 1;
  std::vector<gateway::Candidate> choices;
  std::vector<gateway::Candidate> failedBefore;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != serviceName || !isUsable(target) ||
        Health.isUnresponsive(id, at) || nextSendAt(target, at) > at ||
        exchange.hasAttemptAt(id))
      continue;
    if (!isWithinColdRate(service, id))
      continue;
    const auto &membership = target.Record.Membership;
    if (membership && !Groups.isReady(membership->Group, at) &&
        (!mayProbe || !Groups.mayDispatch(membership->Group, at)))
      continue;
    const std::uint32_t limit =
        isLate ? gateway::lateRequestLimit(requestLimit(target))
               : requestLimit(target);
    gateway::Candidate it{id, TargetLoads.total(id), limit,
                          target.Record.FailureDomain == Settings.FailureDomain,
                          Health.penalty(id, at)};
    (exchange.failedTargets().contains(id) ? failedBefore : choices)
        .push_back(std::move(it));
  }
  return choices.empty() ? failedBefore : choices;
}

/// Returns whether new requests may be sent to a target at all.
bool Entry::isUsable(const gateway::KnownTarget &target) const {
  return Directory.isUsable(target) &&
         !DrainingTargets.contains(target.Record.Id, target.Record.StartedAtMs);
}

std::uint32_t Entry::requestLimit(const gateway::KnownTarget &target) const {
  const std::uint32_t slots = std::max(1U, target.Record.Slots);
  const auto it = StreamLimits.find(target.Record.Service);
  const std::uint32_t limit =
      it == StreamLimits.end() ? slots : std::min(slots, it->second);
  const auto &place = target.Record.Membership;
  return place ? Slowdowns.limit(place->Group, place->Rank, place->GroupSize,
                                 limit, now())
               : limit;
}

/// Returns whether a request may be sent to a target without the risk that all
/// entries together exceed the request rate that it can serve while cold. A
/// target may become cold before any entry learns of it, so the limit also
/// applies to warm targets, which rarely reach it. This entry's share of the
/// rate can't be computed before the number of entries is known.
bool Entry::isWithinColdRate(const gateway::Service *service,
                             const std::string &target) {
  if (!service || service->ColdRequestsPerSecond <= 0)
    return true;
  if (!EntryNamesSet)
    return false;
  const TimePoint at = now();
  const double maxPerSecond = Shares.requestsPerSecond(
      target, gateway::coldRateFraction(at - Settings.StartedAt) *
                  service->ColdRequestsPerSecond);
  return static_cast<double>(DispatchesByTarget[target].count(at)) + 1 <=
         maxPerSecond;
}

void Entry::withdraw(const Exchange &exchange) {
  ServiceState &state = service(exchange.service());
  state.Queue.remove(exchange.exchangeId());
  state.QueuedExchanges.erase(exchange.exchangeId());
}

bool Entry::hasFreeTarget(const Exchange &exchange) {
  return gateway::chooseTarget(candidates(exchange.service(), exchange),
                               drawUniform()) >= 0;
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
  TargetLoads.addLocalRequest(target);
}

void Entry::removeInFlight(const Exchange &exchange,
                           const std::string &target) {
  TargetLoads.removeLocalRequest(target);
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
