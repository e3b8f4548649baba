// The part of Entry that decides on requests: how they wait, which target they
// go to, and when a rejected caller is told to come back.
#include "entrypath/entry.h"
#include "entrypath/exchange.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace bergamot::entrypath {

using base::Duration;
using base::TimePoint;
using gateway::AttemptFailure;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Parts of the latency objective that a request may wait for a target. The
/// rest is needed for its work: a stream's prompt and first pass take 200 to
/// 300 ms of 500 while a group is full, a plain response takes some 100 of 300.
constexpr double StreamWaitPart = 0.35;
constexpr double PlainWaitPart = 0.6;
/// How long a stream that broke off may wait for another target: callers give
/// up after a gap of two seconds.
constexpr milliseconds ResumeWait{1500};
/// How long a request may wait while all groups of its service stand still, and
/// which part of its time at most. A group that forms anew after a power loss
/// is back after some 2.2 s.
constexpr milliseconds StandstillWait{2500};
constexpr double StandstillPart = 0.4;
/// Parts of the time left after which a rejected caller is told to come back.
/// Callers follow it up to a third of that time; the range spreads them.
constexpr double RetryAfterLowest = 0.08;
constexpr double RetryAfterHighest = 0.30;
/// Another entry can take the request of one that ends.
constexpr auto LeavingRetryAfter = "0.02";
/// Time without requests for a target that has fallen silent. A VM that stands
/// still does so for some four seconds.
constexpr milliseconds SilentRest{1500};
/// Part of the allowance of a cold target that is used, since arrivals of
/// several entries bunch on the way.
constexpr double ColdPart = 0.9;
/// Idle time after which a kept connection is closed if its target states
/// none, and the margin before a stated one.
constexpr milliseconds DefaultKeepAlive{4000};
constexpr milliseconds KeepAliveMargin{900};

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

TimePoint Entry::rejectAt(const Exchange &exchange) const {
  if (exchange.isResuming())
    return std::min(exchange.deadline(), now() + ResumeWait);
  const gateway::Route &route = exchange.route();
  const std::chrono::duration<double, std::milli> objective =
      route.LatencyObjective;
  const double part = route.Streams ? StreamWaitPart : PlainWaitPart;
  const TimePoint byObjective =
      exchange.arrivedAt() + duration_cast<Duration>(part * objective);
  return std::min(exchange.deadline(), std::max(byObjective, now()));
}

void Entry::enqueue(const std::shared_ptr<Exchange> &exchange) {
  const std::string name = exchange->service();
  ServiceState &state = service(name);
  if (exchange->tried().empty())
    state.Budget.addRequest(now());
  if (standsStill(name) && state.Queue.size() >= roomOfEntry(name)) {
    exchange->rejectWaiting("standstill");
    return;
  }
  state.Waiting.emplace(exchange->number(), exchange);
  const Duration standstill = std::min<Duration>(
      StandstillWait,
      duration_cast<Duration>(StandstillPart *
                              (exchange->deadline() - exchange->arrivedAt())));
  state.Queue.add({exchange->number(),
                   exchange->isResuming() ? 0 : exchange->priority(),
                   exchange->arrivedAt(), rejectAt(*exchange),
                   exchange->arrivedAt() + standstill});
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
    if (target.Record.Service != name || !Directory.isUsable(target))
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
    if (target.Record.Service == name && Directory.isUsable(target))
      room += limitOf(target);
  return room / entryCount() + 1;
}

void Entry::rejectExpired(const std::string &name, ServiceState &state) {
  if (state.Queue.isEmpty())
    return;
  for (const auto &it : state.Queue.takeExpired(now(), standsStill(name))) {
    const auto waiting = state.Waiting.extract(it.Number);
    if (!waiting.empty())
      waiting.mapped()->rejectWaiting("no_capacity");
  }
}

bool Entry::dispatchNext(const std::string &name, ServiceState &state) {
  const gateway::WaitingRequest *next = state.Queue.next();
  if (!next)
    return false;
  const auto exchange = state.Waiting.at(next->Number);
  const auto choices = candidates(name, *exchange);
  const int chosen = gateway::chooseTarget(choices, draw());
  if (chosen < 0)
    return false;
  const auto *target =
      Directory.target(choices[static_cast<std::size_t>(chosen)].Id);
  state.Queue.remove(exchange->number());
  state.Waiting.erase(exchange->number());
  RecentDispatches[target->Record.Id].add(now());
  if (target->Record.Membership)
    Groups.noteSent(target->Record.Membership->Group, now());
  exchange->dispatchTo(*target);
  return true;
}

std::vector<gateway::Candidate> Entry::candidates(const std::string &name,
                                                  const Exchange &exchange) {
  const TimePoint at = now();
  const gateway::Service *service = Table ? Table->service(name) : nullptr;
  std::vector<gateway::Candidate> choices;
  std::vector<gateway::Candidate> triedBefore;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != name || !Directory.isUsable(target) ||
        Health.isSilent(id, at))
      continue;
    if (!hasAllowance(service, id))
      continue;
    const auto &membership = target.Record.Membership;
    if (membership && !Groups.maySend(membership->Group, at))
      continue;
    gateway::Candidate it{id, Loads.total(id), limitOf(target),
                          target.Record.Domain == Settings.Domain,
                          Health.penalty(id, at)};
    (exchange.tried().contains(id) ? triedBefore : choices)
        .push_back(std::move(it));
  }
  return choices.empty() ? triedBefore : choices;
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
  const std::chrono::duration<double> left =
      std::max(Duration::zero(), exchange.deadline() - now());
  if (Leaving) {
    headers.set("Retry-After", LeavingRetryAfter);
    return;
  }
  const double part =
      RetryAfterLowest + (RetryAfterHighest - RetryAfterLowest) * draw();
  std::array<char, 16> text{};
  (void)std::snprintf(text.data(), text.size(), "%.2f",
                      std::max(0.05, part * left.count()));
  headers.set("Retry-After", text.data());
}

void Entry::addInFlight(const std::string &target) { Loads.addOwn(target); }

void Entry::removeInFlight(const Exchange &exchange,
                           const std::string &target) {
  Loads.removeOwn(target);
  schedulePump(exchange.service());
}

void Entry::noteResponse(const std::string &target,
                         const TargetResponse &response) {
  if (response.ColdFor && response.ColdFor->count() > 0)
    Directory.setColdUntil(target, now() + *response.ColdFor);
}

void Entry::noteProgress(const std::string &service, const std::string &group) {
  if (group.empty())
    return;
  const bool wasMoving = Groups.isMoving(group, now());
  Groups.noteProgress(group);
  if (wasMoving)
    return;
  base::logDecision("group.moves", {{"group", group}});
  schedulePump(service);
}

void Entry::noteSuccess(const std::string &target) {
  Health.addResult(target, false, now());
}

void Entry::noteFailure(const std::string &target, AttemptFailure failure) {
  if (failure == AttemptFailure::Misdirected) {
    base::logDecision("target.replaced", {{"target", target}});
    Directory.removeReplaced(target);
    return;
  }
  if (failure != AttemptFailure::Refused)
    Health.addResult(target, true, now());
}

void Entry::noteSilence(const std::string &target) {
  const TimePoint at = now();
  if (!Health.isSilent(target, at))
    base::logDecision("target.silent", {{"target", target}});
  Health.setSilent(target, at + SilentRest);
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

void Entry::keepConnection(const std::string &target,
                           TargetPool::Connection connection,
                           const TargetResponse &response, TimePoint now) {
  Duration keep = DefaultKeepAlive;
  if (response.KeepAliveFor)
    keep = *response.KeepAliveFor - KeepAliveMargin;
  if (keep <= Duration::zero()) {
    connection->close();
    return;
  }
  Pool.put(target, std::move(connection), now + keep, now);
}

} // namespace bergamot::entrypath
