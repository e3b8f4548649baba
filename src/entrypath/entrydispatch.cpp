// The part of Entry that schedules requests: queueing, the choice of a target,
// and the Retry-After of rejected requests.
#include "entrypath/entry.h"
#include "entrypath/exchange.h"

#include <algorithm>
#include <cstdio>

namespace bergamot::entrypath {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

/// How long an interrupted stream may be queued for another target: callers
/// disconnect after a gap of two seconds.
constexpr milliseconds MaxResumeWait{1500};
/// A shorter delay would be negligible next to the network delay.
constexpr double MinRetryAfterSeconds = 0.05;
/// While this entry shuts down, another one can serve the request at once.
constexpr auto ShutdownRetryAfter = "0.02";
/// Fraction of a cold target's request rate that is used, since requests of
/// several entries may arrive at the same time.
constexpr double ColdRateFraction = 0.9;

} // namespace

Entry::ServiceState &Entry::service(const std::string &name) {
  return Services.try_emplace(name, Settings.Retries).first->second;
}

std::size_t Entry::waitingCount(const std::string &name) {
  return service(name).Queue.size();
}

unsigned Entry::entryCount() const {
  return std::max(Loads.liveEntryCount(), Shares.entryCount());
}

gateway::WaitLimits Entry::waitLimits(const Exchange &exchange) const {
  if (!exchange.isResuming())
    return gateway::waitLimits(exchange.route(), exchange.times());
  const TimePoint until = std::min(exchange.deadline(), now() + MaxResumeWait);
  return {until, until};
}

gateway::QueueState Entry::waitLoad(const std::string &name,
                                    ServiceState &state) {
  const TimePoint at = now();
  return {state.Queue.onTimeCount(),
          state.Queue.lateCount(),
          state.Dispatched.count(at),
          state.Arrived.count(at),
          isStalled(name),
          slotShare(name)};
}

void Entry::enqueue(const std::shared_ptr<Exchange> &exchange) {
  const std::string name = exchange->service();
  const TimePoint at = now();
  ServiceState &state = service(name);
  const gateway::WaitLimits limits = waitLimits(*exchange);
  if (exchange->failedTargets().empty()) {
    state.Budget.addRequest(at);
    if (limits.OnTimeUntil > at)
      state.Arrived.add(at);
  }
  if (at + backoffLeft(name) > std::max(limits.ExpiresAt, at)) {
    exchange->rejectWaiting("resting");
    return;
  }
  const bool mustQueue = !state.Queue.isEmpty() || !isStateCurrent();
  const bool isExempt = exchange->isResuming() ||
                        (!exchange->failedTargets().empty() && isStalled(name));
  if (!isExempt && mustQueue &&
      !gateway::shouldEnqueue(limits, exchange->times(), waitLoad(name, state),
                              at)) {
    exchange->rejectWaiting(isStalled(name) ? "standstill" : "overload");
    return;
  }
  state.Waiting.emplace(exchange->number(), exchange);
  state.Queue.add({exchange->number(),
                   exchange->isResuming() ? 0 : exchange->priority(),
                   exchange->arrivedAt(), limits.OnTimeUntil, limits.ExpiresAt},
                  at);
  processQueue(name);
}

void Entry::scheduleQueueProcessing(const std::string &name) {
  ServiceState &state = service(name);
  if (state.QueueProcessingPosted || state.Queue.isEmpty())
    return;
  state.QueueProcessingPosted = true;
  post([this, name] {
    service(name).QueueProcessingPosted = false;
    processQueue(name);
  });
}

void Entry::processQueue(const std::string &name) {
  ServiceState &state = service(name);
  while (isStateCurrent() && dispatchNext(name, state)) {
  }
  rejectExpired(name, state);
}

/// Returns whether the service has targets and none of them makes progress.
bool Entry::isStalled(const std::string &name) const {
  bool hasGroups = false;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != name || !isUsable(target))
      continue;
    const auto &membership = target.Record.Membership;
    if (!membership || Groups.isServing(membership->Group, now()))
      return false;
    hasGroups = true;
  }
  return hasGroups;
}

/// Returns this entry's share of the slots of a service's targets.
std::size_t Entry::slotShare(const std::string &name) const {
  std::size_t totalSlots = 0;
  for (const auto &[id, target] : Directory.targets())
    if (target.Record.Service == name && isUsable(target))
      totalSlots += requestLimit(target);
  return totalSlots / entryCount() + 1;
}

void Entry::rejectWaiting(ServiceState &state, std::uint64_t number) {
  state.Queue.remove(number);
  const auto waiting = state.Waiting.extract(number);
  if (!waiting.empty())
    waiting.mapped()->rejectWaiting("no_capacity");
}

/// Rejects queued requests that no target can serve any more before their
/// callers disconnect.
void Entry::rejectExpired(const std::string &name, ServiceState &state) {
  if (state.Queue.isEmpty())
    return;
  const TimePoint at = now();
  for (const auto &it : state.Queue.takeExpired(at))
    rejectWaiting(state, it.Number);
  for (const auto &it : state.Queue.demoteLate(at))
    if (!gateway::shouldStayQueued({it.OnTimeUntil, it.ExpiresAt},
                                   waitLoad(name, state), at))
      rejectWaiting(state, it.Number);
}

bool Entry::dispatchNext(const std::string &name, ServiceState &state) {
  const gateway::WaitingRequest *next = state.Queue.next();
  if (!next)
    return false;
  if (dispatch(name, state, next->Number))
    return true;
  if (!isStalled(name))
    return false;
  // The first request may have been refused already; another one probes whether
  // a group makes progress again.
  const auto untried = std::find_if(
      state.Waiting.begin(), state.Waiting.end(),
      [](const auto &it) { return it.second->failedTargets().empty(); });
  return untried != state.Waiting.end() &&
         dispatch(name, state, untried->first);
}

/// Sends a queued request to the best target; returns false if none has a free
/// slot.
bool Entry::dispatch(const std::string &name, ServiceState &state,
                     std::uint64_t number) {
  const auto exchange = state.Waiting.at(number);
  const auto choices = candidates(name, *exchange);
  const int chosen = gateway::chooseTarget(choices, drawUniform());
  if (chosen < 0)
    return false;
  const auto *target =
      Directory.target(choices[static_cast<std::size_t>(chosen)].Id);
  state.Queue.remove(exchange->number());
  state.Waiting.erase(exchange->number());
  RecentDispatches[target->Record.Id].add(now());
  state.Dispatched.add(now());
  if (target->Record.Membership)
    Groups.recordDispatch(target->Record.Membership->Group, now());
  exchange->dispatchTo(*target);
  return true;
}

std::vector<gateway::Candidate> Entry::candidates(const std::string &name,
                                                  const Exchange &exchange) {
  const TimePoint at = now();
  const gateway::Service *service = Table ? Table->service(name) : nullptr;
  const bool isLate = !exchange.isResuming() &&
                      waitLimits(exchange).OnTimeUntil <= at &&
                      !isStalled(name);
  // A request that probes whether a group makes progress may be refused and
  // then needs another attempt.
  const bool mayProbe =
      exchange.failedTargets().empty() || exchange.attemptsLeft() > 1;
  std::vector<gateway::Candidate> choices;
  std::vector<gateway::Candidate> failedBefore;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != name || !isUsable(target) ||
        Health.isUnresponsive(id, at) ||
        Backoffs.backoffUntil(id, target.Record.StartedAtMs) > at)
      continue;
    if (!hasRateAllowance(service, id))
      continue;
    const auto &membership = target.Record.Membership;
    if (membership && !Groups.isServing(membership->Group, at) &&
        (!mayProbe || !Groups.allowsRequest(membership->Group, at)))
      continue;
    const std::uint32_t limit =
        isLate ? gateway::lateRequestLimit(requestLimit(target))
               : requestLimit(target);
    gateway::Candidate it{id, Loads.total(id), limit,
                          target.Record.Domain == Settings.Domain,
                          Health.penalty(id, at)};
    (exchange.failedTargets().contains(id) ? failedBefore : choices)
        .push_back(std::move(it));
  }
  return choices.empty() ? failedBefore : choices;
}

/// Returns whether new requests may be sent to a target at all.
bool Entry::isUsable(const gateway::KnownTarget &target) const {
  return Directory.isUsable(target) &&
         !TargetsLeaving.contains(target.Record.Id, target.Record.StartedAtMs);
}

std::uint32_t Entry::requestLimit(const gateway::KnownTarget &target) const {
  const std::uint32_t slots = std::max(1U, target.Record.Slots);
  const auto it = StreamLimits.find(target.Record.Service);
  const std::uint32_t limit =
      it == StreamLimits.end() ? slots : std::min(slots, it->second);
  const auto &place = target.Record.Membership;
  return place ? Paces.limit(place->Group, place->Rank, place->GroupSize, limit,
                             now())
               : limit;
}

/// Returns whether a request may be sent to a target without the risk that all
/// entries together exceed its rate when cold. A target may turn cold before
/// any entry has been told, so the limit also applies to warm ones, which
/// rarely reach it. Shares can't be computed before the number of entries is
/// known.
bool Entry::hasRateAllowance(const gateway::Service *service,
                             const std::string &target) {
  if (!service || service->ColdRequestsPerSecond <= 0)
    return true;
  if (!EntriesKnown)
    return false;
  const double maxPerSecond = Shares.requestsPerSecond(
      target, ColdRateFraction * service->ColdRequestsPerSecond);
  return static_cast<double>(RecentDispatches[target].count(now())) + 1 <=
         maxPerSecond;
}

void Entry::removeExchange(Exchange &exchange, const char *outcome,
                           int status) {
  if (!exchange.service().empty()) {
    ServiceState &state = service(exchange.service());
    state.Queue.remove(exchange.number());
    state.Waiting.erase(exchange.number());
    scheduleQueueProcessing(exchange.service());
  }
  Metrics.addCount("bergamot_requests_total",
                   std::string("outcome=\"") + outcome + "\",status=\"" +
                       std::to_string(status) + "\"");
  Metrics.addLatency("bergamot_request_seconds", "",
                     now() - exchange.arrivedAt());
}

void Entry::setRetryAfter(adaptertcp::HeaderFields &headers,
                          const Exchange &exchange) {
  const Duration left = std::max(Duration::zero(), exchange.deadline() - now());
  if (RejectingNewRequests) {
    headers.set("Retry-After", ShutdownRetryAfter);
    return;
  }
  const std::string &name = exchange.service();
  const gateway::QueueState load =
      name.empty() ? gateway::QueueState() : waitLoad(name, service(name));
  const std::chrono::duration<double> delay =
      gateway::retryAfterDelay(left, load, backoffLeft(name), drawUniform());
  std::array<char, 16> text{};
  (void)std::snprintf(text.data(), text.size(), "%.2f",
                      std::max(MinRetryAfterSeconds, delay.count()));
  headers.set("Retry-After", text.data());
}

/// Returns how long all targets of a service ask to be sent no requests; 0 if
/// at least one of them accepts requests.
Duration Entry::backoffLeft(const std::string &name) const {
  const TimePoint at = now();
  std::optional<Duration> shortest;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != name || !isUsable(target))
      continue;
    const Duration left =
        Backoffs.backoffUntil(id, target.Record.StartedAtMs) - at;
    if (left <= Duration::zero())
      return Duration::zero();
    shortest = std::min(shortest.value_or(left), left);
  }
  return shortest.value_or(Duration::zero());
}

void Entry::addInFlight(const std::string &target) {
  Loads.addLocalRequest(target);
}

void Entry::removeInFlight(const Exchange &exchange,
                           const std::string &target) {
  Loads.removeLocalRequest(target);
  scheduleQueueProcessing(exchange.service());
}

/// Returns how many entries share the retry budget: at least AssumedEntryCount,
/// since some may not be known yet.
unsigned Entry::entriesSharingBudget() const {
  return std::max(entryCount(), Settings.AssumedEntryCount);
}

bool Entry::hasRetryBudget(const std::string &name) {
  return service(name).Budget.canRetry(entriesSharingBudget(), now());
}

bool Entry::consumeRetryBudget(const std::string &name) {
  return service(name).Budget.takeRetry(entriesSharingBudget(), now());
}

} // namespace bergamot::entrypath
