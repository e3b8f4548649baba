#include "libbergamotexperts/mapchange.h"

#include <algorithm>
#include <cmath>

namespace bergamot::experts {

using base::TimePoint;

std::uint64_t stepMargin(base::Duration armTime, base::Duration stepTime) {
  if (stepTime <= base::Duration::zero())
    return MinStepMargin;
  // On average, half of the reported step's time remains.
  const double steps = 0.5 + static_cast<double>(armTime.count()) /
                                 static_cast<double>(stepTime.count());
  return std::clamp(static_cast<std::uint64_t>(std::ceil(steps)), MinStepMargin,
                    MaxStepMargin);
}

MapChange::MapChange(const MapChangeSettings &settings, std::uint64_t version,
                     std::vector<RankState> states, TimePoint now)
    : Settings(settings), Version(version), NextFenceVersion(version + 1),
      Epoch(states.back().Epoch),
      PrepareDeadline(now + settings.PrepareTimeout) {
  for (auto &it : states) {
    Rank rank;
    rank.State = std::move(it);
    Ranks.push_back(std::move(rank));
  }
}

MapChange::MapChange(const MapChangeSettings &settings, std::uint64_t version,
                     GroupMap next, GroupMap current,
                     std::vector<RankState> states, TimePoint now)
    : MapChange(settings, version, std::move(states), now) {
  Next = std::move(next);
  Current = std::move(current);
}

MapChange MapChange::adoptHeldStep(const MapChangeSettings &settings,
                                   std::uint64_t version, GroupMap current,
                                   std::vector<RankState> states,
                                   bool isRank0Reachable, TimePoint now) {
  MapChange change(settings, version, std::move(states), now);
  change.Current = std::move(current);
  change.adopt(isRank0Reachable);
  return change;
}

/// Continues the other coordinator's change if the held step can still be
/// released with all ranks armed; otherwise rolls the change back.
void MapChange::adopt(bool isRank0Reachable) {
  Step = Ranks[holdRank()].State.HeldStep.value_or(0);
  if (!isRank0Reachable)
    Ranks.front().State = {};
  const auto armed =
      std::find_if(Ranks.begin(), Ranks.end(),
                   [](const Rank &it) { return it.State.Armed.has_value(); });
  if (armed != Ranks.end())
    Version = armed->State.Armed->Version;
  for (auto &it : Ranks)
    it.Armed = it.State.Armed == ArmedSwitch{Version, Step};
  const bool canComplete =
      armed != Ranks.end() && (isRank0Reachable || othersArmed());
  if (!canComplete) {
    startRollback();
    return;
  }
  CurrentPhase = Phase::Arming;
  for (auto &it : Ranks) {
    it.StateFresh = false;
    it.Armed = false;
  }
}

std::uint32_t MapChange::holdRank() const {
  return Ranks.size() > HoldRank ? HoldRank : 0;
}

/// Returns whether all ranks except LastArmedRank are armed.
bool MapChange::othersArmed() const {
  return allRanks(&Rank::Armed, LastArmedRank + 1);
}

/// Returns whether no rank is armed or can still become armed. LastArmedRank is
/// never armed while another rank can't be, so it is checked only if it is the
/// only rank.
bool MapChange::isRolledBack() const {
  return allRanks(&Rank::Fenced, Ranks.size() > 1 ? LastArmedRank + 1 : 0);
}

const char *MapChange::phaseName() const {
  switch (CurrentPhase) {
  case Phase::Preparing:
    return "preparing";
  case Phase::ReadingStates:
    return "reading";
  case Phase::Holding:
    return "holding";
  case Phase::Arming:
    return "arming";
  case Phase::Releasing:
    return "releasing";
  case Phase::RollingBack:
    return "undoing";
  }
  return "";
}

/// Returns whether the flag is set on all ranks from `first` on.
bool MapChange::allRanks(bool Rank::*flag, std::uint32_t firstRank) const {
  return std::all_of(Ranks.begin() + firstRank, Ranks.end(),
                     [flag](const Rank &it) { return it.*flag; });
}

void MapChange::setState(std::uint32_t index, const RankState &state,
                         TimePoint now) {
  Rank &rank = Ranks[index];
  if (CurrentOutcome != Outcome::Running || rank.Outstanding)
    return;
  if (state.Epoch != Epoch) {
    CurrentOutcome = Outcome::Superseded;
    return;
  }
  rank.State = state;
  rank.StateFresh = true;
  if (mayBeHeld() && CurrentPhase != Phase::Holding && state.Step >= Step) {
    // The step has begun, so another coordinator has released it. Any switch
    // armed now belongs to a later change.
    CurrentOutcome =
        state.MapVersion == Version ? Outcome::Applied : Outcome::Superseded;
    return;
  }
  if (CurrentPhase == Phase::RollingBack && state.Armed &&
      state.Armed->Step != Step) {
    CurrentOutcome = Outcome::Superseded;
    return;
  }
  if (CurrentPhase == Phase::Preparing &&
      (state.PreparedVersion > Version || state.Armed)) {
    supersedePreparation();
    return;
  }
  if (CurrentPhase == Phase::RollingBack && rank.SentFenceVersion != 0 &&
      state.PreparedVersion > rank.SentFenceVersion) {
    // Another coordinator is rolling the change back too. The one with the
    // highest versions continues; otherwise they would keep replacing each
    // other's fences.
    CurrentOutcome = Outcome::Superseded;
    return;
  }
  // A rank that another coordinator has disarmed blocks this change.
  rank.Armed = state.Armed == ArmedSwitch{Version, Step};
  if (rank.AcceptedFenceVersion != 0) {
    rank.Fenced =
        !state.Armed && state.PreparedVersion == rank.AcceptedFenceVersion;
    // Another coordinator's order may have replaced the fence.
    if (state.Armed || state.PreparedVersion > rank.AcceptedFenceVersion)
      rank.AcceptedFenceVersion = 0;
  }
  NextFenceVersion = std::max(NextFenceVersion, state.PreparedVersion + 1);
  if (index == holdRank())
    onHoldRankState();
  advance(now);
}

/// Determines from the holding rank's state whether a hold or release took
/// effect.
void MapChange::onHoldRankState() {
  const RankState &state = Ranks[holdRank()].State;
  const bool isHolding = state.HeldStep == Step;
  if (CurrentPhase == Phase::Holding) {
    if (isHolding)
      CurrentPhase = Phase::Arming;
    else if (state.HeldStep)
      CurrentOutcome = Outcome::Superseded;
    else
      startReadingStates();
    return;
  }
  if (isHolding || CurrentPhase == Phase::Preparing ||
      CurrentPhase == Phase::ReadingStates)
    return;
  // The step was released, by this coordinator or another one.
  if (CurrentPhase == Phase::Releasing)
    CurrentOutcome = Outcome::Applied;
  else
    CurrentOutcome = Outcome::Superseded;
}

void MapChange::setResult(std::uint32_t index, OrderResult result,
                          TimePoint now) {
  Rank &rank = Ranks[index];
  if (!rank.Outstanding || CurrentOutcome != Outcome::Running)
    return;
  const RankOrder sent = *rank.Outstanding;
  rank.Outstanding.reset();
  const bool accepted = result == OrderResult::Accepted;
  // The result of an order from an earlier phase only triggers a new read of
  // the state.
  switch (sent.Kind) {
  case OrderKind::Prepare:
    rank.StateFresh = false;
    if (CurrentPhase == Phase::Preparing)
      onPrepareResult(rank, result);
    else if (CurrentPhase == Phase::RollingBack && accepted)
      rank.AcceptedFenceVersion = sent.Version;
    break;
  case OrderKind::Hold:
    rank.StateFresh = accepted;
    if (CurrentPhase == Phase::Holding && accepted)
      CurrentPhase = Phase::Arming;
    break;
  case OrderKind::Arm:
    rank.StateFresh = accepted;
    rank.Armed = rank.Armed || accepted;
    if (accepted)
      rank.State.Armed = ArmedSwitch{Version, Step};
    break;
  case OrderKind::Release:
    rank.StateFresh = false;
    if (accepted)
      CurrentOutcome = CurrentPhase == Phase::RollingBack ? Outcome::Abandoned
                                                          : Outcome::Applied;
    break;
  case OrderKind::Disarm:
    rank.StateFresh = false;
    break;
  }
  advance(now);
}

/// A rank refuses to copy if it has seen a higher version, for example because
/// another coordinator has begun a change. This change can't succeed any more
/// then.
void MapChange::onPrepareResult(Rank &rank, OrderResult result) {
  const bool refused = result == OrderResult::Conflict;
  if (refused && !rank.MayBeCopying)
    supersedePreparation();
  rank.Copying = result == OrderResult::Accepted || refused;
  rank.MayBeCopying = rank.MayBeCopying || result == OrderResult::Unknown;
}

void MapChange::supersedePreparation() {
  CurrentOutcome = Outcome::Superseded;
  ReplacedWhilePreparing = true;
}

void MapChange::advance(TimePoint now) {
  if (CurrentOutcome != Outcome::Running)
    return;
  switch (CurrentPhase) {
  case Phase::Preparing: {
    if (now >= PrepareDeadline) {
      CurrentOutcome = Outcome::Abandoned;
      return;
    }
    const bool prepared =
        std::all_of(Ranks.begin(), Ranks.end(), [&](const Rank &it) {
          return it.State.PreparedVersion == Version && !it.Outstanding;
        });
    if (prepared)
      startReadingStates();
    return;
  }
  case Phase::ReadingStates:
    if (allRanks(&Rank::StateFresh))
      startHolding();
    else if (now >= PrepareDeadline)
      CurrentOutcome = Outcome::Abandoned;
    return;
  case Phase::Holding:
    return;
  case Phase::Arming: {
    if (allRanks(&Rank::Armed)) {
      CurrentPhase = Phase::Releasing;
      return;
    }
    const bool blocked =
        std::any_of(Ranks.begin(), Ranks.end(), [&](const Rank &it) {
          return it.StateFresh && !it.Outstanding && !it.Armed &&
                 it.State.PreparedVersion != Version;
        });
    if (blocked)
      startRollback();
    return;
  }
  case Phase::Releasing:
    return;
  case Phase::RollingBack:
    advanceRollback();
    return;
  }
}

void MapChange::startReadingStates() {
  if (++HoldAttempts > Settings.MaxHoldAttempts) {
    CurrentOutcome = Outcome::Abandoned;
    return;
  }
  CurrentPhase = Phase::ReadingStates;
  // All ranks begin a step together, so reading one of them is enough for the
  // current step; the others' states date from when their copies were complete.
  // After a hold that came too late these may be out of date.
  if (HoldAttempts == 1)
    Ranks[holdRank()].StateFresh = false;
  else
    for (auto &it : Ranks)
      it.StateFresh = false;
}

void MapChange::startHolding() {
  std::uint64_t last = 0;
  for (const auto &it : Ranks) {
    if (it.State.PreparedVersion != Version || it.State.Armed ||
        it.State.HeldStep) {
      CurrentOutcome = Outcome::Superseded;
      return;
    }
    last = std::max(last, it.State.Step);
  }
  Step = last + Settings.StepMargin;
  CurrentPhase = Phase::Holding;
}

void MapChange::startRollback() {
  CurrentPhase = Phase::RollingBack;
  for (auto &it : Ranks) {
    it.StateFresh = false;
    it.AcceptedFenceVersion = 0;
    it.Fenced = false;
  }
}

void MapChange::advanceRollback() {
  Blocked = Blocked || std::any_of(Ranks.begin(), Ranks.end(),
                                   [](const Rank &it) { return it.Fenced; });
  if (Blocked)
    return;
  // While no rank blocks the change, another coordinator may complete it.
  const auto &rank0Armed = Ranks.front().State.Armed;
  const bool allArmed =
      rank0Armed && rank0Armed->Step == Step &&
      std::all_of(Ranks.begin(), Ranks.end(), [&](const Rank &it) {
        return it.StateFresh && !it.Outstanding && it.State.Armed == rank0Armed;
      });
  if (allArmed) {
    Version = rank0Armed->Version;
    CurrentPhase = Phase::Releasing;
  }
}

} // namespace bergamot::experts
