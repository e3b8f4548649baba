#include "libbergamotrouting/targetadmission.h"

#include <algorithm>

namespace bergamot::routing {

namespace {

constexpr double HoldSmoothing = 0.1;
constexpr double ShortestRetrySeconds = 0.01;
constexpr double LongestRetrySeconds = 30;
// One slot in this many stays ungranted for entries that hold no grant.
constexpr std::uint32_t UngrantedDivisor = 8;

} // namespace

TargetAdmission::TargetAdmission(const AdmissionSettings &settings)
    : Settings(settings), Ramp(settings.Warmup),
      Attempts(settings.AttemptCapacity, settings.AttemptRetention) {}

AdmissionVerdict TargetAdmission::admit(const AdmissionRequest &request,
                                        TimePoint now) {
  Grants.removeExpired(now);
  Grants.addDemand(request.Entry);
  const auto added = Attempts.add(request.Key, now);
  if (added == AttemptTable::Added::Known)
    return {Refusal::Duplicate, Executed::Unknown, {}};
  // Without a record, a repeat of this refused attempt could be admitted
  // later, so the refusal can't promise that nothing is executed.
  if (added == AttemptTable::Added::Full)
    return {Refusal::RecordsFull, Executed::Unknown, retryAfter(request)};
  Refusal reason = stateRefusal(request, now);
  if (reason == Refusal::None)
    reason = capacityRefusal(request, now);
  if (reason == Refusal::None)
    reason = pressureRefusal(request, now);
  if (reason != Refusal::None) {
    ++RefusedSinceRelease;
    return {reason, Executed::No, retryAfter(request)};
  }
  reserve(request, now);
  return {};
}

RampChange TargetAdmission::setCompleted(const AttemptKey &key,
                                         const Completion &completion,
                                         TimePoint now) {
  const auto it = Reservations.find(key);
  if (it == Reservations.end() || it->second.OutcomeUnknown)
    return RampChange::None;
  const Reservation &held = it->second;
  if (completion.Outcome == Executed::Unknown) {
    UnconfirmedSince = now;
    it->second.OutcomeUnknown = true;
    it->second.UnknownSince = now;
    return RampChange::None;
  }
  RampChange change = RampChange::None;
  if (completion.Outcome == Executed::Yes) {
    change = Ramp.addResponse(held.Epoch, completion.FirstToken,
                              completion.InTime, held.Busy);
    MeanHoldSeconds +=
        HoldSmoothing * (toSeconds(now - held.Since) - MeanHoldSeconds);
  }
  release(it, now);
  return change;
}

RampChange TargetAdmission::addReport(const LoadReport &report, TimePoint now) {
  if (LastReport && (report.BackEnd < LastReport->BackEnd ||
                     (report.BackEnd == LastReport->BackEnd &&
                      report.Time <= LastReport->Time)))
    return RampChange::None;
  LastReport = report;
  releaseUnknown(now);
  const Level own = levelAt(report.Time);
  ForeignSlots = report.Running > own.Slots ? report.Running - own.Slots : 0;
  ForeignUnits =
      report.UnitsUsed > own.Units ? report.UnitsUsed - own.Units : 0;
  return Ramp.addReport(report);
}

void TargetAdmission::releaseUnknown(TimePoint now) {
  if (UnconfirmedSince == TimePoint::min())
    return;
  for (auto it = Reservations.begin(); it != Reservations.end();) {
    const auto next = std::next(it);
    const Reservation &held = it->second;
    // The attempt may have reached the new incarnation before that was known
    // here. The report counts it then, unless it is older than the attempt.
    if (held.OutcomeUnknown && held.BackEnd < LastReport->BackEnd &&
        held.UnknownSince <= LastReport->Time) {
      removeFromHistory(held);
      release(it, now);
    }
    it = next;
  }
}

std::vector<EntryGrant> TargetAdmission::issueGrants(TimePoint now) {
  Grants.updateDemand();
  return issue(now, Settings.GrantLifetime);
}

std::vector<EntryGrant> TargetAdmission::issueFreed(TimePoint now) {
  if (!Grants.hasWaiting())
    return {};
  return issue(now, Settings.FreedGrantLifetime);
}

std::vector<EntryGrant> TargetAdmission::issue(TimePoint now,
                                               Duration lifetime) {
  Grants.removeExpired(now);
  if (Draining || DomainRemoved || !LastReport)
    return {};
  const std::uint32_t limit = slotLimit(now);
  const std::uint32_t taken = usedSlots() + Grants.unusedSlots();
  const std::uint64_t units = usedUnits() + Grants.unusedUnits();
  if (taken >= limit || units >= unitLimit())
    return {};
  const std::uint32_t kept =
      isContended() ? 0 : std::min(limit / UngrantedDivisor, limit - taken);
  const std::uint32_t free = limit - taken - kept;
  if (free == 0)
    return {};
  const std::uint64_t unitsEach = (unitLimit() - units) / (limit - taken);
  return Grants.issue(free, unitsEach * free, now + lifetime);
}

std::uint32_t TargetAdmission::slotLimit(TimePoint now) const {
  if (!LastReport)
    return 0;
  if (now - LastReport->Time > Settings.LoadStaleAfter ||
      LastReport->Time <= UnconfirmedSince)
    return std::min(Ramp.limit(), Settings.Warmup.ColdLimit);
  return Ramp.limit();
}

Refusal TargetAdmission::stateRefusal(const AdmissionRequest &request,
                                      TimePoint now) const {
  if (Draining)
    return Refusal::Draining;
  if (DomainRemoved)
    return Refusal::DomainRemoved;
  if (!LastReport)
    return Refusal::NotReady;
  if (request.Deadline <= now)
    return Refusal::DeadlinePassed;
  if (request.Units > unitLimit())
    return Refusal::TooLarge;
  return Refusal::None;
}

Refusal TargetAdmission::capacityRefusal(const AdmissionRequest &request,
                                         TimePoint now) const {
  std::optional<Grant> left;
  if (request.Permit)
    left = Grants.unusedPart(request.Entry, *request.Permit);
  // The limit may have fallen since the grant was issued, so a grant alone
  // admits nothing. Without a grant, what others were granted counts as used.
  const std::uint32_t slots = usedSlots() + 1;
  const std::uint32_t limit = slotLimit(now);
  if (slots > limit || (!left && slots + Grants.unusedSlots() > limit))
    return Refusal::NoSlots;
  const std::uint64_t units = usedUnits() + request.Units;
  const bool covered = left && left->Units >= request.Units;
  const std::uint64_t others = Grants.unusedUnits() - (left ? left->Units : 0);
  if (units > unitLimit() || (!covered && units + others > unitLimit()))
    return Refusal::NoUnits;
  return Refusal::None;
}

Refusal TargetAdmission::pressureRefusal(const AdmissionRequest &request,
                                         TimePoint now) const {
  if (usedSlots() == 0)
    return Refusal::None;
  const std::uint32_t limit = slotLimit(now);
  const double unitLoad =
      static_cast<double>(usedUnits() + request.Units) /
      static_cast<double>(std::max<std::uint64_t>(1, unitLimit()));
  const double slotLoad = (usedSlots() + 1.0) / limit;
  if (std::max(slotLoad, unitLoad) <= Settings.PressureFrom)
    return Refusal::None;
  // Whole slots are kept back, so that a small limit still serves everyone.
  const double kept = std::min(1 - Settings.PressureFrom,
                               Settings.PriorityStep * request.Priority);
  const auto keptSlots = static_cast<std::uint32_t>(limit * kept);
  if (usedSlots() + 1 + keptSlots > limit || unitLoad > 1 - kept)
    return Refusal::Priority;
  const double capacity =
      static_cast<double>(limit) / Settings.Warmup.FullLimit;
  if (Shares.isFurthestAbove(request.Account, request.Weight,
                             shareOf(request.Units), capacity))
    return Refusal::AccountShare;
  return Refusal::None;
}

void TargetAdmission::reserve(const AdmissionRequest &request, TimePoint now) {
  if (request.Permit && Grants.unusedPart(request.Entry, *request.Permit))
    Grants.removeUsed(*request.Permit, request.Units);
  Reservation held;
  held.Account = request.Account;
  held.Units = request.Units;
  held.Share = shareOf(request.Units);
  held.Epoch = Ramp.epoch();
  held.BackEnd = LastReport->BackEnd;
  held.Since = now;
  held.Busy = (ReservedSlots + 1) * 2 >= Ramp.limit();
  ReservedSlots += 1;
  ReservedUnits += request.Units;
  Shares.add(request.Account, request.Weight, held.Share);
  Reservations.emplace(request.Key, std::move(held));
  Attempts.setActive(request.Key.Request);
  addLevel(now);
}

void TargetAdmission::release(
    std::unordered_map<AttemptKey, Reservation>::iterator it, TimePoint now) {
  ReservedSlots -= 1;
  ReservedUnits -= it->second.Units;
  RefusedSinceRelease -= std::min(1u, RefusedSinceRelease);
  Shares.remove(it->second.Account, it->second.Share);
  Attempts.setInactive(it->first.Request, now);
  Reservations.erase(it);
  addLevel(now);
}

void TargetAdmission::addLevel(TimePoint now) {
  History.push_back({now, ReservedSlots, ReservedUnits});
  // The newest level before the horizon stays, as it held at the horizon.
  while (History.size() > 1 && History[1].Time < now - Settings.LoadStaleAfter)
    History.pop_front();
}

void TargetAdmission::removeFromHistory(const Reservation &held) {
  for (auto &level : History)
    if (level.Time >= held.Since) {
      level.Slots -= 1;
      level.Units -= held.Units;
    }
}

TargetAdmission::Level TargetAdmission::levelAt(TimePoint time) const {
  const auto it =
      std::upper_bound(History.begin(), History.end(), time,
                       [](TimePoint t, const Level &l) { return t < l.Time; });
  return it == History.begin() ? Level{} : *std::prev(it);
}

Duration TargetAdmission::retryAfter(const AdmissionRequest &request) const {
  // Capacity frees at the rate reserved / mean hold time; those refused since
  // the last release are ahead of this request.
  const double slots = RefusedSinceRelease + 1.0;
  const double bySlots = slots / std::max(1u, usedSlots());
  const double byUnits =
      static_cast<double>(request.Units) /
      static_cast<double>(std::max<std::uint64_t>(1, usedUnits()));
  const double seconds =
      MeanHoldSeconds * std::max(bySlots, std::min(byUnits, slots));
  return fromSeconds(
      std::clamp(seconds, ShortestRetrySeconds, LongestRetrySeconds));
}

std::uint64_t TargetAdmission::unitLimit() const {
  if (!LastReport || LastReport->UnitsTotal == 0)
    return Settings.UnitCount;
  return std::min(Settings.UnitCount, LastReport->UnitsTotal);
}

double TargetAdmission::shareOf(std::uint64_t units) const {
  return std::max(
      1.0 / Settings.Warmup.FullLimit,
      static_cast<double>(units) /
          static_cast<double>(std::max<std::uint64_t>(1, Settings.UnitCount)));
}

} // namespace bergamot::routing
