#include "libbergamotrouting/targetadmission.h"

#include <algorithm>

namespace bergamot::routing {

namespace {

constexpr double ReservationTimeSmoothing = 0.1;
constexpr double MinRetryAfterSeconds = 0.01;
constexpr double MaxRetryAfterSeconds = 30;
// One in this many slots is left ungranted for entries that hold no grant.
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
  if (added == AttemptTable::AddResult::DuplicateOrSuperseded)
    return {Refusal::Duplicate, Executed::Unknown, {}};
  // Without a record, a duplicate of this refused attempt could be admitted
  // later, so the refusal can't guarantee that nothing is executed.
  if (added == AttemptTable::AddResult::Full)
    return {Refusal::AttemptTableFull, Executed::Unknown, retryAfter(request)};
  Refusal reason = stateRefusal(request, now);
  if (reason == Refusal::None)
    reason = capacityRefusal(request, now);
  if (reason == Refusal::None)
    reason = pressureRefusal(request, now);
  if (reason != Refusal::None) {
    ++UnservedRefusals;
    return {reason, Executed::No, retryAfter(request)};
  }
  reserve(request, now);
  return {};
}

RampChange TargetAdmission::recordResult(const AttemptKey &key,
                                         const AttemptResult &result,
                                         TimePoint now) {
  const auto it = Reservations.find(key);
  if (it == Reservations.end() || it->second.OutcomeUnknown)
    return RampChange::None;
  const Reservation &reservation = it->second;
  if (result.Outcome == Executed::Unknown) {
    LastUnknownAt = now;
    it->second.OutcomeUnknown = true;
    it->second.UnknownSince = now;
    return RampChange::None;
  }
  RampChange change = RampChange::None;
  if (result.Outcome == Executed::Yes) {
    change = Ramp.addResponse(reservation.Epoch, result.TimeToFirstToken,
                              result.InTime, reservation.AdmittedWhenBusy);
    MeanReservationSeconds +=
        ReservationTimeSmoothing *
        (toSeconds(now - reservation.ReservedAt) - MeanReservationSeconds);
  }
  release(it, now);
  return change;
}

RampChange TargetAdmission::addReport(const LoadReport &report, TimePoint now) {
  if (LastReport &&
      (report.BackEndIncarnation < LastReport->BackEndIncarnation ||
       (report.BackEndIncarnation == LastReport->BackEndIncarnation &&
        report.ReadAt <= LastReport->ReadAt)))
    return RampChange::None;
  LastReport = report;
  releaseUnknownOutcomes(now);
  const UsageSample ownUsage = usageAt(report.ReadAt);
  ExternalSlots =
      report.Running > ownUsage.Slots ? report.Running - ownUsage.Slots : 0;
  ExternalUnits =
      report.UnitsUsed > ownUsage.Units ? report.UnitsUsed - ownUsage.Units : 0;
  return Ramp.addReport(report);
}

void TargetAdmission::releaseUnknownOutcomes(TimePoint now) {
  if (LastUnknownAt == TimePoint::min())
    return;
  for (auto it = Reservations.begin(); it != Reservations.end();) {
    const auto next = std::next(it);
    const Reservation &reservation = it->second;
    // The attempt may have reached the new incarnation before that incarnation
    // was known here. The report counts it in that case, unless the report is
    // older than the attempt.
    if (reservation.OutcomeUnknown &&
        reservation.BackEndIncarnation < LastReport->BackEndIncarnation &&
        reservation.UnknownSince <= LastReport->ReadAt) {
      removeFromHistory(reservation);
      release(it, now);
    }
    it = next;
  }
}

std::vector<EntryGrant> TargetAdmission::issueGrants(TimePoint now) {
  Grants.updateDemand();
  return issue(now, Settings.GrantLifetime);
}

std::vector<EntryGrant> TargetAdmission::issueFreedGrants(TimePoint now) {
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
  const std::uint32_t usedAndGranted = usedSlots() + Grants.unusedSlots();
  const std::uint64_t units = usedUnits() + Grants.unusedUnits();
  if (usedAndGranted >= limit || units >= unitLimit())
    return {};
  const std::uint32_t withheld =
      isContended()
          ? 0
          : std::min(limit / UngrantedDivisor, limit - usedAndGranted);
  const std::uint32_t free = limit - usedAndGranted - withheld;
  if (free == 0)
    return {};
  const std::uint64_t unitsEach =
      (unitLimit() - units) / (limit - usedAndGranted);
  return Grants.issue(free, unitsEach * free, now + lifetime);
}

std::uint32_t TargetAdmission::slotLimit(TimePoint now) const {
  if (!LastReport)
    return 0;
  if (now - LastReport->ReadAt > Settings.LoadStaleAfter ||
      LastReport->ReadAt <= LastUnknownAt)
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
  std::optional<Grant> remainingGrant;
  if (request.UsedGrant)
    remainingGrant = Grants.unusedPart(request.Entry, *request.UsedGrant);
  // The limit may have fallen since the grant was issued, so a grant alone
  // doesn't guarantee admission. Without a grant, capacity granted to others
  // counts as used.
  const std::uint32_t slots = usedSlots() + 1;
  const std::uint32_t limit = slotLimit(now);
  if (slots > limit ||
      (!remainingGrant && slots + Grants.unusedSlots() > limit))
    return Refusal::NoSlots;
  const std::uint64_t units = usedUnits() + request.Units;
  const bool covered = remainingGrant && remainingGrant->Units >= request.Units;
  const std::uint64_t othersUnits =
      Grants.unusedUnits() - (remainingGrant ? remainingGrant->Units : 0);
  if (units > unitLimit() || (!covered && units + othersUnits > unitLimit()))
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
  if (std::max(slotLoad, unitLoad) <= Settings.PressureThreshold)
    return Refusal::None;
  // Only whole slots are withheld, so that a small limit still serves all
  // priorities.
  const double withheld = std::min(1 - Settings.PressureThreshold,
                                   Settings.PriorityStep * request.Priority);
  const auto withheldSlots = static_cast<std::uint32_t>(limit * withheld);
  if (usedSlots() + 1 + withheldSlots > limit || unitLoad > 1 - withheld)
    return Refusal::PriorityTooLow;
  const double capacity =
      static_cast<double>(limit) / Settings.Warmup.FullLimit;
  if (UsageByAccount.isLargestOverShare(request.Account, request.Weight,
                                        capacityFraction(request.Units),
                                        capacity))
    return Refusal::AccountShareExceeded;
  return Refusal::None;
}

void TargetAdmission::reserve(const AdmissionRequest &request, TimePoint now) {
  if (request.UsedGrant && Grants.unusedPart(request.Entry, *request.UsedGrant))
    Grants.consume(*request.UsedGrant, request.Units);
  Reservation reservation;
  reservation.Account = request.Account;
  reservation.Units = request.Units;
  reservation.CapacityFraction = capacityFraction(request.Units);
  reservation.Epoch = Ramp.epoch();
  reservation.BackEndIncarnation = LastReport->BackEndIncarnation;
  reservation.ReservedAt = now;
  reservation.AdmittedWhenBusy = (ReservedSlots + 1) * 2 >= Ramp.limit();
  ReservedSlots += 1;
  ReservedUnits += request.Units;
  UsageByAccount.add(request.Account, request.Weight,
                     reservation.CapacityFraction);
  Reservations.emplace(request.Key, std::move(reservation));
  Attempts.pin(request.Key.Request);
  recordUsage(now);
}

void TargetAdmission::release(
    std::unordered_map<AttemptKey, Reservation>::iterator it, TimePoint now) {
  ReservedSlots -= 1;
  ReservedUnits -= it->second.Units;
  UnservedRefusals -= std::min(1u, UnservedRefusals);
  UsageByAccount.remove(it->second.Account, it->second.CapacityFraction);
  Attempts.unpin(it->first.Request, now);
  Reservations.erase(it);
  recordUsage(now);
}

void TargetAdmission::recordUsage(TimePoint now) {
  UsageHistory.push_back({now, ReservedSlots, ReservedUnits});
  // The newest sample before the retained interval stays, since it gives the
  // usage at the start of the interval.
  while (UsageHistory.size() > 1 &&
         UsageHistory[1].Time < now - Settings.LoadStaleAfter)
    UsageHistory.pop_front();
}

void TargetAdmission::removeFromHistory(const Reservation &reservation) {
  for (auto &sample : UsageHistory)
    if (sample.Time >= reservation.ReservedAt) {
      sample.Slots -= 1;
      sample.Units -= reservation.Units;
    }
}

TargetAdmission::UsageSample TargetAdmission::usageAt(TimePoint time) const {
  const auto it = std::upper_bound(
      UsageHistory.begin(), UsageHistory.end(), time,
      [](TimePoint t, const UsageSample &s) { return t < s.Time; });
  return it == UsageHistory.begin() ? UsageSample{} : *std::prev(it);
}

Duration TargetAdmission::retryAfter(const AdmissionRequest &request) const {
  // Capacity is freed at the rate used slots / mean reservation time. Refused
  // requests for which no slot has been released yet are ahead of this one.
  const double slots = UnservedRefusals + 1.0;
  const double bySlots = slots / std::max(1u, usedSlots());
  const double byUnits =
      static_cast<double>(request.Units) /
      static_cast<double>(std::max<std::uint64_t>(1, usedUnits()));
  const double seconds =
      MeanReservationSeconds * std::max(bySlots, std::min(byUnits, slots));
  return fromSeconds(
      std::clamp(seconds, MinRetryAfterSeconds, MaxRetryAfterSeconds));
}

std::uint64_t TargetAdmission::unitLimit() const {
  if (!LastReport || LastReport->UnitsTotal == 0)
    return Settings.MaxUnits;
  return std::min(Settings.MaxUnits, LastReport->UnitsTotal);
}

double TargetAdmission::capacityFraction(std::uint64_t units) const {
  return std::max(
      1.0 / Settings.Warmup.FullLimit,
      static_cast<double>(units) /
          static_cast<double>(std::max<std::uint64_t>(1, Settings.MaxUnits)));
}

} // namespace bergamot::routing
