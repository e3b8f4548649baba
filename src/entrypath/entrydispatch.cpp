// The part of Entry that decides on requests: how they wait, which target they
// go to, and when a rejected caller is told to come back.
#include "entrypath/entry.h"
#include "entrypath/exchange.h"

#include <algorithm>
#include <cstdio>

namespace bergamot::entrypath {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

/// How long a stream that broke off may wait for another target: callers give
/// up after a gap of two seconds.
constexpr milliseconds ResumeWait{1500};
/// In seconds; less would be lost in the time of the way.
constexpr double LeastRetryAfter = 0.05;
/// Another entry can take the request of one that ends.
constexpr auto LeavingRetryAfter = "0.02";
/// Part of the allowance of a cold target that is used, since arrivals of
/// several entries bunch on the way.
constexpr double ColdPart = 0.9;

} // namespace

Entry::ServiceState &Entry::service(const std::string &name) {
  return Services.try_emplace(name, Settings.Retries).first->second;
}

std::size_t Entry::waitingCount(const std::string &name) {
  return service(name).Queue.size();
}

unsigned Entry::entryCount() const {
  return std::max(Loads.liveEntries(), Shares.entryCount());
}

gateway::WaitLimits Entry::waitLimits(const Exchange &exchange) const {
  if (!exchange.isResuming())
    return gateway::waitLimits(exchange.route(), exchange.times());
  const TimePoint until = std::min(exchange.deadline(), now() + ResumeWait);
  return {until, until};
}

gateway::WaitLoad Entry::waitLoad(const std::string &name,
                                  ServiceState &state) {
  const TimePoint at = now();
  return {state.Queue.inTimeCount(),  state.Queue.lateCount(),
          state.Dispatched.count(at), state.Arrived.count(at),
          standsStill(name),          roomOfEntry(name)};
}

void Entry::enqueue(const std::shared_ptr<Exchange> &exchange) {
  const std::string name = exchange->service();
  const TimePoint at = now();
  ServiceState &state = service(name);
  const gateway::WaitLimits limits = waitLimits(*exchange);
  if (exchange->tried().empty()) {
    state.Budget.addRequest(at);
    if (limits.InTimeUntil > at)
      state.Arrived.add(at);
  }
  if (at + restLeft(name) > std::max(limits.UsefulUntil, at)) {
    exchange->rejectWaiting("resting");
    return;
  }
  const bool mustWait = !state.Queue.isEmpty() || !isFresh();
  const bool hasWaited = exchange->isResuming() ||
                         (!exchange->tried().empty() && standsStill(name));
  if (!hasWaited && mustWait &&
      !gateway::mayWait(limits, exchange->times(), waitLoad(name, state), at)) {
    exchange->rejectWaiting(standsStill(name) ? "standstill" : "overload");
    return;
  }
  state.Waiting.emplace(exchange->number(), exchange);
  state.Queue.add(
      {exchange->number(), exchange->isResuming() ? 0 : exchange->priority(),
       exchange->arrivedAt(), limits.InTimeUntil, limits.UsefulUntil},
      at);
  pump(name);
}

void Entry::schedulePump(const std::string &name) {
  ServiceState &state = service(name);
  if (state.PumpPosted || state.Queue.isEmpty())
    return;
  state.PumpPosted = true;
  post([this, name] {
    service(name).PumpPosted = false;
    pump(name);
  });
}

void Entry::pump(const std::string &name) {
  ServiceState &state = service(name);
  while (isFresh() && dispatchNext(name, state)) {
  }
  rejectExpired(name, state);
}

/// Returns whether the service has targets, and none of them makes progress.
bool Entry::standsStill(const std::string &name) const {
  bool hasGroups = false;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != name || !isUsable(target))
      continue;
    const auto &membership = target.Record.Membership;
    if (!membership || Groups.isMoving(membership->Group, now()))
      return false;
    hasGroups = true;
  }
  return hasGroups;
}

/// Returns this entry's part of the room of a service's targets.
std::size_t Entry::roomOfEntry(const std::string &name) const {
  std::size_t room = 0;
  for (const auto &[id, target] : Directory.targets())
    if (target.Record.Service == name && isUsable(target))
      room += limitOf(target);
  return room / entryCount() + 1;
}

void Entry::rejectWaiting(ServiceState &state, std::uint64_t number) {
  state.Queue.remove(number);
  const auto waiting = state.Waiting.extract(number);
  if (!waiting.empty())
    waiting.mapped()->rejectWaiting("no_capacity");
}

/// Rejects what no target can serve any more while it is of use.
void Entry::rejectExpired(const std::string &name, ServiceState &state) {
  if (state.Queue.isEmpty())
    return;
  const TimePoint at = now();
  for (const auto &it : state.Queue.takeUseless(at))
    rejectWaiting(state, it.Number);
  for (const auto &it : state.Queue.moveLate(at))
    if (!gateway::mayWaitLate({it.InTimeUntil, it.UsefulUntil},
                              waitLoad(name, state), at))
      rejectWaiting(state, it.Number);
}

bool Entry::dispatchNext(const std::string &name, ServiceState &state) {
  const gateway::WaitingRequest *next = state.Queue.next();
  if (!next)
    return false;
  if (dispatch(name, state, next->Number))
    return true;
  if (!standsStill(name))
    return false;
  // The first one may have been refused already; another one finds out whether
  // a group moves again.
  const auto untried =
      std::find_if(state.Waiting.begin(), state.Waiting.end(),
                   [](const auto &it) { return it.second->tried().empty(); });
  return untried != state.Waiting.end() &&
         dispatch(name, state, untried->first);
}

/// Sends a waiting request to the best target; returns false if none has room.
bool Entry::dispatch(const std::string &name, ServiceState &state,
                     std::uint64_t number) {
  const auto exchange = state.Waiting.at(number);
  const auto choices = candidates(name, *exchange);
  const int chosen = gateway::chooseTarget(choices, draw());
  if (chosen < 0)
    return false;
  const auto *target =
      Directory.target(choices[static_cast<std::size_t>(chosen)].Id);
  state.Queue.remove(exchange->number());
  state.Waiting.erase(exchange->number());
  RecentDispatches[target->Record.Id].add(now());
  state.Dispatched.add(now());
  if (target->Record.Membership)
    Groups.noteSent(target->Record.Membership->Group, now());
  exchange->dispatchTo(*target);
  return true;
}

std::vector<gateway::Candidate> Entry::candidates(const std::string &name,
                                                  const Exchange &exchange) {
  const TimePoint at = now();
  const gateway::Service *service = Table ? Table->service(name) : nullptr;
  const bool isLate = !exchange.isResuming() &&
                      waitLimits(exchange).InTimeUntil <= at &&
                      !standsStill(name);
  // A request that finds out whether a group moves may be refused, and needs a
  // further try then.
  const bool mayProbe = exchange.tried().empty() || exchange.attemptsLeft() > 1;
  std::vector<gateway::Candidate> choices;
  std::vector<gateway::Candidate> triedBefore;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != name || !isUsable(target) ||
        Health.isSilent(id, at) ||
        Rests.restsUntil(id, target.Record.StartedAtMs) > at)
      continue;
    if (!hasAllowance(service, id))
      continue;
    const auto &membership = target.Record.Membership;
    if (membership && !Groups.isMoving(membership->Group, at) &&
        (!mayProbe || !Groups.maySend(membership->Group, at)))
      continue;
    const std::uint32_t limit =
        isLate ? gateway::lateLimit(limitOf(target)) : limitOf(target);
    gateway::Candidate it{id, Loads.total(id), limit,
                          target.Record.Domain == Settings.Domain,
                          Health.penalty(id, at)};
    (exchange.tried().contains(id) ? triedBefore : choices)
        .push_back(std::move(it));
  }
  return choices.empty() ? triedBefore : choices;
}

/// Returns whether new work may be sent to a target at all.
bool Entry::isUsable(const gateway::KnownTarget &target) const {
  return Directory.isUsable(target) &&
         !TargetsLeaving.contains(target.Record.Id, target.Record.StartedAtMs);
}

std::uint32_t Entry::limitOf(const gateway::KnownTarget &target) const {
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
/// entries together send too many. A target may be cold before anyone has heard
/// of it, so the limit applies to warm ones too, which seldom get as many.
/// Shares can't be told before it is known how many entries there are.
bool Entry::hasAllowance(const gateway::Service *service,
                         const std::string &target) {
  if (!service || service->ColdRequestsPerSecond <= 0)
    return true;
  if (!KnowsEntries)
    return false;
  const double most = Shares.requestsPerSecond(
      target, ColdPart * service->ColdRequestsPerSecond);
  return static_cast<double>(RecentDispatches[target].count(now())) + 1 <= most;
}

void Entry::removeExchange(Exchange &exchange, const char *outcome,
                           int status) {
  if (!exchange.service().empty()) {
    ServiceState &state = service(exchange.service());
    state.Queue.remove(exchange.number());
    state.Waiting.erase(exchange.number());
    schedulePump(exchange.service());
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
  if (Leaving) {
    headers.set("Retry-After", LeavingRetryAfter);
    return;
  }
  const std::string &name = exchange.service();
  const gateway::WaitLoad load =
      name.empty() ? gateway::WaitLoad() : waitLoad(name, service(name));
  const std::chrono::duration<double> delay =
      gateway::returnDelay(left, load, restLeft(name), draw());
  std::array<char, 16> text{};
  (void)std::snprintf(text.data(), text.size(), "%.2f",
                      std::max(LeastRetryAfter, delay.count()));
  headers.set("Retry-After", text.data());
}

/// Returns how long all targets of a service want no requests; 0 if one of them
/// may get some.
Duration Entry::restLeft(const std::string &name) const {
  const TimePoint at = now();
  std::optional<Duration> shortest;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != name || !isUsable(target))
      continue;
    const Duration left = Rests.restsUntil(id, target.Record.StartedAtMs) - at;
    if (left <= Duration::zero())
      return Duration::zero();
    shortest = std::min(shortest.value_or(left), left);
  }
  return shortest.value_or(Duration::zero());
}

void Entry::addInFlight(const std::string &target) { Loads.addOwn(target); }

void Entry::removeInFlight(const Exchange &exchange,
                           const std::string &target) {
  Loads.removeOwn(target);
  schedulePump(exchange.service());
}

/// Returns how many entries share the retry budget, at least those that may
/// exist.
unsigned Entry::sharingEntries() const {
  return std::max(entryCount(), Settings.MaxEntries);
}

bool Entry::hasRepeat(const std::string &name) {
  return service(name).Budget.hasRepeat(sharingEntries(), now());
}

bool Entry::takeRepeat(const std::string &name) {
  return service(name).Budget.takeRepeat(sharingEntries(), now());
}

} // namespace bergamot::entrypath
