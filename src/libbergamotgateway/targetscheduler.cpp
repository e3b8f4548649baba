#include "libbergamotgateway/targetscheduler.h"

#include "libbergamotgateway/enginelimit.h"

#include <algorithm>

namespace bergamot::gateway {

namespace {

/// Stands for a time at which no target takes a request from this entry.
constexpr std::chrono::hours MaxNextSendDelay{1};
/// How long reports are used where slots are shared: the slots of an entry that
/// has crashed must not stay idle for longer than a second, and it takes the
/// others several report periods to fill those of one target. Longer than the
/// period in which unchanged reports are repeated.
constexpr std::chrono::milliseconds SharedReportLifetime{600};
/// Requests that the owner of a slot is taken to have sent to it since its last
/// report. With less, entries with the same view fill each other's slots
/// although they have free ones of their own.
constexpr double UnreportedRequestsOfOwner = 3;

/// Returns the priorities that requests of a service may have.
std::set<std::uint32_t> prioritiesOf(const std::string &service,
                                     const RouteTable &table) {
  std::set<std::uint32_t> priorities;
  for (const auto &route : table.routes())
    for (const auto &it : route.Services)
      if (it.Service == service)
        priorities.insert(route.Priority);
  for (const auto &it : table.accounts())
    if (it.Priority)
      priorities.insert(*it.Priority);
  return priorities;
}

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
  std::map<std::string, std::set<std::uint32_t>> priorities;
  for (const auto &it : activeServices(Settings.ShareSlots, *Table))
    priorities[it] = prioritiesOf(it, *Table);
  Sharing.setServices(priorities);
  Loads.setReportLifetime(priorities.empty() ? Settings.ReportLifetime
                                             : SharedReportLifetime);
}

void TargetScheduler::setEntryNames(const std::set<std::string> &names) {
  EntryNames = names;
  EntryNamesSet = true;
  Shares.setEntries(Settings.Name, names);
  updateEntries();
}

void TargetScheduler::setReport(const std::string &entry, RequestCounts counts,
                                TimePoint now) {
  const unsigned entries = Loads.liveEntryCount();
  Sharing.setReport(entry, counts);
  Loads.setReport(entry, std::move(counts), now);
  if (Loads.liveEntryCount() != entries)
    updateEntries();
}

void TargetScheduler::removeExpiredReports(TimePoint now) {
  const unsigned entries = Loads.liveEntryCount();
  if (Sharing.services().empty())
    return;
  Loads.removeExpired(now);
  if (Loads.liveEntryCount() != entries)
    updateEntries();
}

void TargetScheduler::removeExpired(TimePoint now) {
  Directory.removeExpiredTargets(now);
  Loads.removeExpired(now);
  RateLimits.removeExpired(now);
  IsStarting = now < Settings.StartedAt + SharedReportLifetime;
  updateEntries();
}

void TargetScheduler::handleSuspension(TimePoint now) {
  RateLimits.handleSuspension(now);
}

void TargetScheduler::updateEntries() {
  const std::set<std::string> heard = Loads.liveEntryNames();
  RateLimits.setEntries(Settings.Name, heard, EntryNames);
  Sharing.setEntries(Settings.Name, heard, EntryNames, IsStarting);
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

std::vector<TargetScheduler::Option>
TargetScheduler::options(const DispatchTerms &terms, TimePoint now) {
  std::vector<Option> options;
  for (const auto &[id, target] : Directory.targets()) {
    if (exclusion(target, terms, now) != Exclusion::None)
      continue;
    const std::uint32_t limit = requestLimit(target, now);
    Option it;
    it.Slots.Target = targetHash(id);
    it.Slots.Limit = terms.IsLate ? lateRequestLimit(limit) : limit;
    it.Slots.Others = Loads.remote(it.Slots.Target);
    it.Slots.Own = Loads.local(id);
    it.Slots.OwnReported = Loads.reported(id);
    it.Target = {id, it.Slots.Others + it.Slots.Own, it.Slots.Limit,
                 target.Record.FailureDomain == Settings.FailureDomain,
                 Health.penalty(id, now)};
    it.FailedBefore = terms.FailedTargets.contains(id);
    options.push_back(std::move(it));
  }
  return options;
}

/// Returns the slots of a service by the last reports of all entries. Doesn't
/// depend on the request, so that all entries get the same numbers.
SlotTotals TargetScheduler::slotTotals(const std::string &service,
                                       TimePoint now) const {
  SlotTotals totals;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != service || !isUsable(target))
      continue;
    const std::uint32_t limit = requestLimit(target, now);
    const std::uint32_t taken =
        Loads.remote(targetHash(id)) + Loads.reported(id);
    totals.Free += limit - std::min(limit, taken);
    totals.Taken += taken;
    totals.Excess += taken - std::min(limit, taken);
  }
  return totals;
}

/// Removes the options whose next slot is left to other entries.
SlotView TargetScheduler::applySharing(const DispatchTerms &terms,
                                       std::vector<Option> &options,
                                       TimePoint now) const {
  SlotView view;
  view.Shared = Sharing.isActive(terms.Service);
  if (!view.Shared)
    return view;
  const SlotTotals totals = slotTotals(terms.Service, now);
  view.FreeSlots = totals.Free;
  view.Interval = Sharing.interval(terms.Service, totals);
  // An entry that has just started doesn't know yet which slots are taken.
  const bool mayClaim = EntryNamesSet && (Sharing.hearsAll() || !IsStarting);
  std::erase_if(options, [&](Option &it) {
    const SlotClaim claim = mayClaim
                                ? SlotSharing::claim(view.Interval, it.Slots)
                                : SlotClaim::None;
    if (claim == SlotClaim::Shared)
      it.Target.UnreportedRequests = UnreportedRequestsOfOwner;
    if (claim != SlotClaim::None)
      return false;
    view.LeftToOthers += it.Target.Requests < it.Target.MaxRequests ? 1 : 0;
    return true;
  });
  return view;
}

Choice TargetScheduler::choose(const DispatchTerms &terms, double draw,
                               TimePoint now) {
  std::vector<Option> all = options(terms, now);
  Choice choice;
  choice.Slots = applySharing(terms, all, now);
  const bool allFailedBefore = std::all_of(
      all.begin(), all.end(), [](const Option &it) { return it.FailedBefore; });
  std::vector<Candidate> choices;
  for (auto &it : all)
    if (it.FailedBefore == allFailedBefore)
      choices.push_back(std::move(it.Target));
  const int chosen = chooseTarget(choices, draw);
  if (chosen < 0)
    return choice;
  const Candidate &best = choices[static_cast<std::size_t>(chosen)];
  choice.Target = Directory.target(best.Id);
  choice.Claim =
      best.UnreportedRequests > 0 ? SlotClaim::Shared : SlotClaim::Own;
  return choice;
}

RequestCounts TargetScheduler::takeReport(
    const std::map<std::string, WaitingCounts> &waitingByService) {
  RequestCounts counts = Loads.localCounts();
  Loads.recordReported();
  for (const auto &[service, waiting] : waitingByService)
    if (Sharing.isActive(service))
      for (const auto &[priority, requests] : waiting)
        if (requests > 0)
          counts.emplace_back(waitingKey(service, priority), requests);
  Sharing.setReport(Settings.Name, counts);
  return counts;
}

void TargetScheduler::recordDispatch(const KnownTarget &target, TimePoint now) {
  const std::string &id = target.Record.Id;
  DispatchesByTarget[id].add(now);
  RateLimits.recordSent(targetHash(id), now);
  if (target.Record.Membership)
    Groups.recordDispatch(target.Record.Membership->Group, now);
}

} // namespace bergamot::gateway
