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
/// Slots are kept free for the more urgent requests that arrive in this time:
/// the time until the other entries know of a slot that has become free.
constexpr std::chrono::duration<double> UrgentReserveTime{0.1};

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
    priorities[it] = competingPriorities(*Table, it);
  Sharing.setServices(priorities);
  EngineLimits.clear();
  for (const auto &it : activeServices(Settings.LimitByGroup, *Table)) {
    const Service *service = Table->service(it);
    if (service && service->Engine)
      EngineLimits[it] = {*service->Engine, minEventGapObjective(*Table, it)};
  }
  ServicesWithGroupRecords = activeServices(Settings.UseGroupRecords, *Table);
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
  EntriesChanged = EntriesChanged || Loads.liveEntryCount() != entries;
}

void TargetScheduler::removeExpiredReports(TimePoint now) {
  const unsigned entries = Loads.liveEntryCount();
  if (Sharing.services().empty())
    return;
  Loads.removeExpired(now);
  EntriesChanged = EntriesChanged || Loads.liveEntryCount() != entries;
}

void TargetScheduler::removeExpired(TimePoint now) {
  Directory.removeExpiredTargets(now);
  Loads.removeExpired(now);
  RateLimits.removeExpired(now);
  removeIdleGroups(now);
  IsStarting = now < Settings.StartedAt + SharedReportLifetime;
  updateEntries();
}

void TargetScheduler::handleSuspension(TimePoint now) {
  RateLimits.handleSuspension(now);
}

void TargetScheduler::updateEntries() {
  EntriesChanged = false;
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
  std::uint32_t limit =
      it == StreamLimits.end() ? slots : std::min(slots, it->second);
  const auto &place = target.Record.Membership;
  const auto engine = EngineLimits.find(target.Record.Service);
  if (place && engine != EngineLimits.end())
    limit = std::min(
        slots, GroupLimits.limit(place->Group, engine->second.Engine,
                                 engine->second.EventGapObjective, limit, now));
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

TargetScheduler::Option TargetScheduler::option(const KnownTarget &target,
                                                const DispatchTerms &terms,
                                                TimePoint now) const {
  const std::string &id = target.Record.Id;
  const std::uint32_t limit = requestLimit(target, now);
  Option it;
  it.Target = &target;
  it.Slots.Target = targetHash(id);
  it.Slots.Limit = terms.IsLate ? lateRequestLimit(limit) : limit;
  it.Slots.Others = Loads.remote(it.Slots.Target);
  it.Slots.Own = Loads.local(id);
  it.Slots.OwnReported = Loads.reported(id);
  it.Penalty = Health.penalty(id, now);
  it.FailedBefore = terms.FailedTargets.contains(id);
  return it;
}

Candidate TargetScheduler::candidate(const Option &option) const {
  const TargetRecord &record = option.Target->Record;
  return {record.Id,
          option.Slots.Others + option.Slots.Own,
          option.Slots.Limit,
          record.FailureDomain == Settings.FailureDomain,
          option.Penalty,
          option.Claim == SlotClaim::Shared ? UnreportedRequestsOfOwner : 0};
}

/// Returns the slots of a service by the last reports of all entries. Doesn't
/// depend on the request, so that all entries get the same numbers.
SlotTotals TargetScheduler::slotTotals(const std::string &service,
                                       TimePoint now) const {
  SlotTotals totals;
  const bool followsGroups = EngineLimits.contains(service);
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != service || !isUsable(target))
      continue;
    const auto &membership = target.Record.Membership;
    if (membership && !Groups.isReady(membership->Group, now))
      continue;
    const std::uint32_t limit = requestLimit(target, now);
    const std::uint32_t taken =
        Loads.remote(targetHash(id)) + Loads.reported(id);
    totals.Free += limit - std::min(limit, taken);
    totals.Taken += taken;
    // The limit of a group may fall below what runs there. Other groups don't
    // have to make up for that.
    const std::uint32_t bound =
        followsGroups ? std::max(limit, target.Record.Slots) : limit;
    totals.Excess += taken - std::min(bound, taken);
  }
  return totals;
}

/// Sets for each option whether this entry may fill its next slot.
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
  // The other entries are taken to have as many urgent requests as this one.
  view.Reserved =
      terms.MoreUrgentPerSecond * UrgentReserveTime.count() * entryCount();
  // Before the names of the entries are known, this entry's part isn't.
  const bool mayUseSlots =
      EntryNamesSet && static_cast<double>(totals.Free) >= view.Reserved;
  for (auto &it : options) {
    it.Claim = mayUseSlots ? SlotSharing::claim(view.Interval, it.Slots)
                           : SlotClaim::None;
    const bool isFull = it.Slots.Others + it.Slots.Own >= it.Slots.Limit;
    view.LeftToOthers += it.Claim == SlotClaim::None && !isFull ? 1 : 0;
  }
  return view;
}

TargetScheduler::Decision TargetScheduler::decide(const DispatchTerms &terms,
                                                  TimePoint now) {
  if (EntriesChanged)
    updateEntries();
  Decision decision;
  auto &options = decision.Options;
  for (const auto &[id, target] : Directory.targets())
    if (exclusion(target, terms, now) == Exclusion::None)
      options.push_back(option(target, terms, now));
  decision.Slots = applySharing(terms, options, now);
  const bool allFailedBefore =
      std::all_of(options.begin(), options.end(), [](const Option &it) {
        return it.Claim == SlotClaim::None || it.FailedBefore;
      });
  for (std::size_t i = 0; i < options.size(); ++i) {
    if (options[i].Claim == SlotClaim::None ||
        options[i].FailedBefore != allFailedBefore)
      continue;
    decision.Candidates.push_back(candidate(options[i]));
    decision.OptionIndices.push_back(i);
  }
  return decision;
}

Choice TargetScheduler::choose(const DispatchTerms &terms, double draw,
                               TimePoint now) {
  const Decision decision = decide(terms, now);
  Choice choice;
  choice.Slots = decision.Slots;
  const int chosen = chooseTarget(decision.Candidates, draw);
  if (chosen < 0)
    return choice;
  const Option &option =
      decision
          .Options[decision.OptionIndices[static_cast<std::size_t>(chosen)]];
  choice.Target = option.Target;
  choice.Claim = option.Claim;
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
