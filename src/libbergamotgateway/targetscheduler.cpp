#include "libbergamotgateway/targetscheduler.h"

#include "libbergamotgateway/enginelimit.h"

#include <algorithm>

namespace bergamot::gateway {

namespace {

/// Stands for a time at which no target takes a request from this entry.
constexpr std::chrono::hours MaxNextSendDelay{1};

} // namespace

const char *exclusionName(Exclusion exclusion) {
  switch (exclusion) {
  case Exclusion::None:
    return "none";
  case Exclusion::OtherService:
    return "other_service";
  case Exclusion::NotUsable:
    return "not_usable";
  case Exclusion::Unresponsive:
    return "unresponsive";
  case Exclusion::RateLimited:
    return "rate_limited";
  case Exclusion::AttemptInProgress:
    return "attempt_in_progress";
  case Exclusion::ColdRateExceeded:
    return "cold_rate_exceeded";
  case Exclusion::GroupStalled:
    return "group_stalled";
  }
  return "none";
}

TargetScheduler::TargetScheduler(const SchedulerSettings &settings)
    : Settings(settings), Directory(settings.RemovalGrace, settings.DrainBound,
                                    settings.SilenceBound),
      Loads(settings.ReportLifetime), Health(HealthSettings{}) {}

void TargetScheduler::setRouteTable(std::shared_ptr<const RouteTable> table) {
  Table = std::move(table);
  StreamLimits = maxConcurrentStreamsByService(*Table);
}

void TargetScheduler::setEntryNames(const std::set<std::string> &names) {
  EntryNames = names;
  EntryNamesSet = true;
  Shares.setEntries(Settings.Name, names);
  updateRateLimitEntries();
}

void TargetScheduler::setReport(const std::string &entry, RequestCounts counts,
                                TimePoint now) {
  Loads.setReport(entry, std::move(counts), now);
}

void TargetScheduler::removeExpired(TimePoint now) {
  Directory.removeExpiredTargets(now);
  Loads.removeExpired(now);
  RateLimits.removeExpired(now);
  updateRateLimitEntries();
}

void TargetScheduler::handleSuspension(TimePoint now) {
  RateLimits.handleSuspension(now);
}

void TargetScheduler::updateRateLimitEntries() {
  RateLimits.setEntries(Settings.Name, Loads.liveEntryNames(), EntryNames);
}

bool TargetScheduler::isUsable(const KnownTarget &target) const {
  return Directory.isUsable(target) &&
         !Draining.contains(target.Record.Id, target.Record.StartedAtMs);
}

bool TargetScheduler::isStalled(const std::string &service,
                                TimePoint now) const {
  bool hasGroups = false;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != service || !isUsable(target))
      continue;
    const auto &membership = target.Record.Membership;
    if (!membership || Groups.isReady(membership->Group, now))
      return false;
    hasGroups = true;
  }
  return hasGroups;
}

std::uint32_t TargetScheduler::requestLimit(const KnownTarget &target,
                                            TimePoint now) const {
  const std::uint32_t slots = std::max(1U, target.Record.Slots);
  const auto it = StreamLimits.find(target.Record.Service);
  const std::uint32_t limit =
      it == StreamLimits.end() ? slots : std::min(slots, it->second);
  const auto &place = target.Record.Membership;
  return place ? Slowdowns.limit(place->Group, place->Rank, place->GroupSize,
                                 limit, now)
               : limit;
}

std::size_t TargetScheduler::slotShare(const std::string &service,
                                       TimePoint now) const {
  std::size_t totalSlots = 0;
  for (const auto &[id, target] : Directory.targets())
    if (target.Record.Service == service && isUsable(target))
      totalSlots += requestLimit(target, now);
  return totalSlots / entryCount() + 1;
}

unsigned TargetScheduler::entryCount() const {
  return std::max(Loads.liveEntryCount(), Shares.entryCount());
}

/// Returns when the next request may be sent to a target, as far as its
/// back-off and its request rate determine it.
TimePoint TargetScheduler::nextSendAt(const KnownTarget &target,
                                      TimePoint now) {
  const std::string &id = target.Record.Id;
  const std::int64_t startedAtMs = target.Record.StartedAtMs;
  const TimePoint backoffUntil = Backoffs.backoffUntil(id, startedAtMs);
  if (RateLimits.isEmpty())
    return backoffUntil;
  const TargetHash hash = targetHash(id);
  // This entry's share can't be computed before the number of entries is known.
  if (!EntryNamesSet && RateLimits.share(hash, startedAtMs, now))
    return TimePoint::max();
  return std::max(backoffUntil, RateLimits.nextSendAt(hash, startedAtMs, now));
}

void TargetScheduler::addTargetLimits(const std::string &service,
                                      QueueState &state, TimePoint now) {
  TimePoint earliest = TimePoint::max();
  double totalRate = 0;
  bool allLimited = true;
  bool hasTargets = false;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != service || !isUsable(target))
      continue;
    std::optional<double> share;
    if (!RateLimits.isEmpty())
      share = RateLimits.share(targetHash(id), target.Record.StartedAtMs, now);
    const TimePoint sendAt = nextSendAt(target, now);
    // One such target decides both; there may be hundreds.
    if (!share && sendAt <= now)
      return;
    hasTargets = true;
    earliest = std::min(earliest, sendAt);
    allLimited = allLimited && share;
    totalRate += share.value_or(0);
  }
  if (!hasTargets)
    return;
  state.NextSendIn =
      std::clamp<TimePoint>(earliest, now, now + MaxNextSendDelay) - now;
  if (allLimited)
    state.MaxRate = totalRate;
}

/// Returns whether a request may be sent to a target without the risk that all
/// entries together exceed the request rate that it can serve while cold. A
/// target may become cold before any entry learns of it, so the limit also
/// applies to warm targets, which rarely reach it. This entry's share of the
/// rate can't be computed before the number of entries is known.
bool TargetScheduler::isWithinColdRate(const std::string &service,
                                       const std::string &target,
                                       TimePoint now) {
  const Service *config = Table ? Table->service(service) : nullptr;
  if (!config || config->ColdRequestsPerSecond <= 0)
    return true;
  if (!EntryNamesSet)
    return false;
  const double maxPerSecond = Shares.requestsPerSecond(
      target, coldRateFraction(now - Settings.StartedAt) *
                  config->ColdRequestsPerSecond);
  return static_cast<double>(DispatchesByTarget[target].count(now)) + 1 <=
         maxPerSecond;
}

Exclusion TargetScheduler::exclusion(const KnownTarget &target,
                                     const DispatchTerms &terms,
                                     TimePoint now) {
  const std::string &id = target.Record.Id;
  if (target.Record.Service != terms.Service)
    return Exclusion::OtherService;
  if (!isUsable(target))
    return Exclusion::NotUsable;
  if (Health.isUnresponsive(id, now))
    return Exclusion::Unresponsive;
  if (nextSendAt(target, now) > now)
    return Exclusion::RateLimited;
  if (terms.BusyTargets.contains(id))
    return Exclusion::AttemptInProgress;
  if (!isWithinColdRate(terms.Service, id, now))
    return Exclusion::ColdRateExceeded;
  const auto &membership = target.Record.Membership;
  if (membership && !Groups.isReady(membership->Group, now) &&
      (!terms.MayProbe || !Groups.mayDispatch(membership->Group, now)))
    return Exclusion::GroupStalled;
  return Exclusion::None;
}

std::vector<Candidate> TargetScheduler::candidates(const DispatchTerms &terms,
                                                   TimePoint now) {
  std::vector<Candidate> choices;
  std::vector<Candidate> failedBefore;
  for (const auto &[id, target] : Directory.targets()) {
    if (exclusion(target, terms, now) != Exclusion::None)
      continue;
    const std::uint32_t limit = requestLimit(target, now);
    Candidate it{id, Loads.total(id),
                 terms.IsLate ? lateRequestLimit(limit) : limit,
                 target.Record.FailureDomain == Settings.FailureDomain,
                 Health.penalty(id, now)};
    (terms.FailedTargets.contains(id) ? failedBefore : choices)
        .push_back(std::move(it));
  }
  return choices.empty() ? failedBefore : choices;
}

const KnownTarget *TargetScheduler::choose(const DispatchTerms &terms,
                                           double draw, TimePoint now) {
  const auto choices = candidates(terms, now);
  const int chosen = chooseTarget(choices, draw);
  return chosen < 0
             ? nullptr
             : Directory.target(choices[static_cast<std::size_t>(chosen)].Id);
}

void TargetScheduler::recordDispatch(const KnownTarget &target, TimePoint now) {
  const std::string &id = target.Record.Id;
  DispatchesByTarget[id].add(now);
  RateLimits.recordSent(targetHash(id), now);
  if (target.Record.Membership)
    Groups.recordDispatch(target.Record.Membership->Group, now);
}

} // namespace bergamot::gateway
