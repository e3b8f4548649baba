#include "sidecar/coordinator.h"

#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamot::sidecar {

using base::TimePoint;
using experts::GroupMap;
using experts::MapChange;
using experts::OrderResult;
using experts::RankState;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

/// Number of polls that must show a held step, while this coordinator has no
/// change in progress, before it adopts the change: another coordinator may be
/// active.
constexpr unsigned PollsBeforeAdoption = 2;
/// Minimum time between reads of a copying rank's state; the rank's sidecar
/// normally delays its response until the copy is complete.
constexpr milliseconds CopyReadPeriod{80};
/// Minimum time between state reads while the group may be held, which doesn't
/// last long.
constexpr milliseconds HeldReadPeriod{30};
/// Number of replaced changes in a row after which a coordinator leaves the
/// other one's change alone. The first one may have been replaced by the copies
/// of a coordinator that no longer runs.
constexpr unsigned ReplacementsBeforeYield = 2;
/// How long it does so. A change usually takes half a second.
constexpr milliseconds YieldTime{1000};
/// A change that takes longer is given up, and the group's state is read again.
constexpr std::chrono::seconds MaxChangeTime{14};
/// Low bits of a version, reserved for the orders of a rollback (see
/// MapChange).
constexpr unsigned FenceBits = 8;
/// Random bits that distinguish the versions of different coordinators, and of
/// a coordinator before and after a restart.
constexpr unsigned RandomBits = 20;
/// Assumed time to arm all ranks until it has been measured.
constexpr milliseconds InitialArmTime{100};
} // namespace

Coordinator::Coordinator(boost::asio::io_context &loop,
                         const CoordinatorSettings &settings,
                         std::vector<std::shared_ptr<MemberClient>> ranks)
    : Loop(loop), Settings(settings), PollTimer(loop), AdvanceTimer(loop),
      View(ranks.size(), settings.Sets, settings.ExpertsPerSet),
      Estimator(settings.Sets, settings.ExpertsPerSet, settings.LoadDecay),
      Random(std::random_device{}()), ArmTime(InitialArmTime) {
  for (auto &it : ranks) {
    Member member;
    member.Client = std::move(it);
    Members.push_back(std::move(member));
  }
}

void Coordinator::start() { poll(); }

void Coordinator::poll() {
  const TimePoint deadline = Clock::now() + Settings.PollTimeout;
  const std::uint64_t number = ++PollNumber;
  PendingResponses = Members.size();
  const bool needsStates =
      Skew > 1 + Settings.MinSkewReduction || !View.isMapCurrent();
  if (!Change && (needsStates || number % Settings.PollsPerStateRead == 0)) {
    PendingResponses += Members.size();
    readStates(deadline);
  }
  for (std::uint32_t i = 0; i < Members.size(); ++i)
    Members[i].Client->fetchCounts(
        deadline, [this, number, alive = std::weak_ptr<int>(Alive)](
                      const std::optional<CountDeltas> &counts) {
          if (alive.expired())
            return;
          if (counts)
            Estimator.addCounts(*counts);
          onPollResponse(number);
        });
  PollTimer.expires_after(Settings.PollPeriod);
  PollTimer.async_wait([this, alive = std::weak_ptr<int>(Alive)](
                           const boost::system::error_code &ec) {
    if (ec || alive.expired())
      return;
    if (PendingResponses > 0)
      finishPoll();
    poll();
  });
}

void Coordinator::readStates(TimePoint deadline) {
  for (std::uint32_t i = 0; i < Members.size(); ++i) {
    if (Members[i].StateReadPending) {
      onPollResponse(PollNumber);
      continue;
    }
    Members[i].StateReadPending = true;
    Members[i].Client->fetchState(
        deadline, [this, i, number = PollNumber, change = ChangeNumber,
                   readAt = Clock::now(), alive = std::weak_ptr<int>(Alive)](
                      const std::optional<RankState> &state) {
          if (alive.expired())
            return;
          if (change != ChangeNumber) {
            onPollResponse(number);
            return;
          }
          Members[i].StateReadPending = false;
          // A state from before a change would lead to a wrong decision.
          if (state && !Change && readAt >= StatesValidFrom) {
            View.setState(i, *state, readAt);
            StepTimes.addReport(*state, Clock::now());
          }
          onPollResponse(number);
        });
  }
}

/// Finishes the poll early once all responses have arrived.
void Coordinator::onPollResponse(std::uint64_t poll) {
  if (poll == PollNumber && PendingResponses > 0 && --PendingResponses == 0)
    finishPoll();
}

void Coordinator::finishPoll() {
  PendingResponses = 0;
  if (View.hasAllExpertIds()) {
    const GroupMap map = View.map();
    const bool jumped = Estimator.mergePending(map);
    Skew = experts::groupSkew(map, Estimator.loads(), View.slowdowns());
    if (jumped) {
      base::logDecision("popularity.jumped", {{"skew", Skew}});
      NextPlanAt = {};
    }
  }
  if (Change)
    dropStalePlan();
  else
    decideNextAction();
}

void Coordinator::decideNextAction() {
  const TimePoint now = Clock::now();
  if (!View.areResponsiveExceptLastArmed(now))
    return;
  if (!View.isResponsive(experts::LastArmedRank, now)) {
    adoptHeldChange();
    return;
  }
  if (!View.isMapCurrent()) {
    readExpertIds();
    return;
  }
  if (View.isSettled()) {
    PollsWithHold = 0;
    planChange();
  } else {
    adoptHeldChange();
  }
}

/// Popularity may jump while the ranks copy for a plan that is based on the
/// previous popularity. No rank is armed then, so the change can be replaced at
/// once.
void Coordinator::dropStalePlan() {
  if (!Change->isPreparing() || ActivePlan.Map.empty())
    return;
  const double skew =
      experts::groupSkew(ActivePlan.Map, Estimator.loads(), View.slowdowns());
  if (skew < Settings.StalePlanSkewRatio * ActivePlan.SkewAfter)
    return;
  base::logDecision("map.plan_stale", {{"version", Change->version()},
                                       {"planned_skew", ActivePlan.SkewAfter},
                                       {"skew", skew}});
  finishChange();
}

void Coordinator::readExpertIds() {
  const TimePoint deadline = Clock::now() + Settings.PollTimeout;
  for (std::uint32_t i = 0; i < Members.size(); ++i)
    Members[i].Client->fetchExpertIds(
        deadline, [this, i, alive = std::weak_ptr<int>(Alive)](
                      const std::optional<RankExpertIds> &expertIds) {
          if (alive.expired() || !expertIds)
            return;
          const bool wasMapCurrent = View.isMapCurrent();
          View.setExpertIds(i, *expertIds);
          if (!Change && !wasMapCurrent && View.isMapCurrent())
            finishPoll();
        });
}

/// Returns a version that is higher than all versions that the ranks report or
/// that this coordinator has used. The version that a rank is copying, possibly
/// for another coordinator, isn't reported.
std::uint64_t Coordinator::newVersion() {
  const std::uint64_t highest =
      std::max(LastIssuedVersion, View.highestVersion());
  constexpr unsigned Shift = FenceBits + RandomBits;
  const std::uint64_t random = Random() & ((1ULL << RandomBits) - 1);
  LastIssuedVersion = ((highest >> Shift) + 1) << Shift | random << FenceBits;
  return LastIssuedVersion;
}

void Coordinator::adoptHeldChange() {
  // Without a held step, armed ranks switch on their own.
  if (!View.hasHeldStep()) {
    PollsWithHold = 0;
    return;
  }
  const TimePoint now = Clock::now();
  ++PollsWithHold;
  // The orders of a rollback contain the current map.
  const bool mapKnown = View.hasExpertIdsOfResponsiveRanks(now);
  if (!mapKnown)
    readExpertIds();
  if (!mapKnown || PollsWithHold < PollsBeforeAdoption)
    return;
  PollsWithHold = 0;
  const bool firstRankReachable =
      View.isResponsive(experts::LastArmedRank, now);
  const RankState &lastRank =
      *View.state(static_cast<std::uint32_t>(Members.size() - 1));
  base::logDecision("map.adopt", {{"epoch", lastRank.Epoch},
                                  {"step", lastRank.Step},
                                  {"reaches_first", firstRankReachable}});
  ChangeStartedAt = now;
  ChangeDeadline = now + MaxChangeTime;
  ActivePlan = {};
  Change = MapChange::adoptHeldStep(Settings.ChangeSettings, newVersion(),
                                    View.map(), View.states(),
                                    firstRankReachable, now);
  advanceChange();
}

void Coordinator::planChange() {
  const TimePoint now = Clock::now();
  const bool worsened =
      Skew >= RejectedPlanSkew * (1 + Settings.MinSkewReduction);
  if (now < YieldUntil && View.state(0)->MapVersion == ReplacedMapVersion)
    return;
  YieldUntil = {};
  if (Estimator.selections() < Settings.MinEstimateSelections ||
      (now < NextPlanAt && !worsened))
    return;
  NextPlanAt = now + Settings.ReplanPeriod;
  const GroupMap current = View.map();
  experts::GroupPlanLimits limits = Settings.Limits;
  limits.RankSlowdowns = View.slowdowns();
  auto plan = experts::planGroup(current, Estimator.loads(), limits);
  const double reduction = 1 - plan.SkewAfter / plan.SkewBefore;
  if (reduction < Settings.MinSkewReduction) {
    RejectedPlanSkew = plan.SkewBefore;
    return;
  }
  ActivePlan = std::move(plan);
  ReplacedMapVersion = View.state(0)->MapVersion;
  ChangeStartedAt = Clock::now();
  ChangeDeadline = ChangeStartedAt + MaxChangeTime;
  Settings.ChangeSettings.StepMargin =
      experts::stepMargin(ArmTime, StepTimes.stepTime());
  Change.emplace(Settings.ChangeSettings, newVersion(), ActivePlan.Map, current,
                 View.states(), ChangeStartedAt);
  base::logDecision("map.plan",
                    {{"version", Change->version()},
                     {"epoch", View.state(0)->Epoch},
                     {"step", View.state(0)->Step},
                     {"skew", ActivePlan.SkewBefore},
                     {"planned_skew", ActivePlan.SkewAfter},
                     {"copies", ActivePlan.Copies},
                     {"most_copies", ActivePlan.MaxCopiesPerRank},
                     {"step_margin", Settings.ChangeSettings.StepMargin},
                     {"step_ms", base::wholeMilliseconds(StepTimes.stepTime())},
                     {"arm_ms", base::wholeMilliseconds(ArmTime)},
                     {"choices", Estimator.selections()}});
  advanceChange();
}

void Coordinator::advanceChange() {
  if (!Change)
    return;
  const TimePoint now = Clock::now();
  for (auto &it : Change->takeOrders(now)) {
    const std::uint32_t rank = it.Rank;
    if (it.Order.Kind == experts::OrderKind::Hold)
      HoldSentAt = now;
    else if (it.Order.Kind == experts::OrderKind::Release &&
             HoldSentAt != TimePoint())
      ArmTime = now - std::exchange(HoldSentAt, {});
    Members[rank].Client->sendOrder(
        it.Order, now + Settings.OrderTimeout,
        [this, rank, kind = it.Order.Kind, number = ChangeNumber,
         alive = std::weak_ptr<int>(Alive)](OrderResult result) {
          if (alive.expired() || !Change || number != ChangeNumber)
            return;
          if (result != OrderResult::Accepted)
            base::logDecision("order.failed",
                              {{"rank", rank},
                               {"order", experts::orderName(kind)},
                               {"answered", result == OrderResult::Conflict}});
          Change->setResult(rank, result, Clock::now());
          advanceChange();
        });
  }
  for (const std::uint32_t rank : Change->ranksToRead())
    fetchStateForChange(rank, now);
  if (Change->outcome() != MapChange::Outcome::Running || now >= ChangeDeadline)
    finishChange();
  else
    scheduleAdvance();
}

/// Requests the state of a rank for the change in progress.
void Coordinator::fetchStateForChange(std::uint32_t rank, TimePoint now) {
  Member &member = Members[rank];
  const bool isThrottled = Change->isPreparing() || Change->mayBeHeld();
  if (member.StateReadPending || (isThrottled && now < member.NextStateReadAt))
    return;
  member.StateReadPending = true;
  member.NextStateReadAt =
      now + (Change->isPreparing() ? CopyReadPeriod : HeldReadPeriod);
  const auto onState = [this, rank, number = ChangeNumber,
                        alive = std::weak_ptr<int>(Alive)](
                           const std::optional<RankState> &state) {
    if (alive.expired() || number != ChangeNumber)
      return;
    Members[rank].StateReadPending = false;
    if (!Change || !state)
      return;
    const TimePoint at = Clock::now();
    StepTimes.addReport(*state, at);
    Change->setState(rank, *state, at);
    advanceChange();
  };
  if (Change->isPreparing())
    member.Client->awaitCopies(Change->version(), now + Settings.CopyTimeout,
                               onState);
  else
    member.Client->fetchState(now + Settings.OrderTimeout, onState);
}

void Coordinator::scheduleAdvance() {
  AdvanceTimer.expires_after(Settings.AdvancePeriod);
  AdvanceTimer.async_wait([this, alive = std::weak_ptr<int>(Alive)](
                              const boost::system::error_code &ec) {
    if (!ec && !alive.expired())
      advanceChange();
  });
}

void Coordinator::finishChange() {
  const auto outcome = Change->outcome();
  const char *name = outcome == MapChange::Outcome::Applied      ? "applied"
                     : outcome == MapChange::Outcome::Abandoned  ? "abandoned"
                     : outcome == MapChange::Outcome::Superseded ? "superseded"
                                                                 : "given_up";
  base::logDecision(
      "map.change",
      {{"version", Change->version()},
       {"step", Change->step()},
       {"outcome", name},
       {"phase", Change->phaseName()},
       {"took_ms", base::wholeMilliseconds(Clock::now() - ChangeStartedAt)}});
  const bool applied = outcome == MapChange::Outcome::Applied;
  if (Change->wasReplacedWhilePreparing())
    recordReplacement();
  else
    ReplacedChanges = 0;
  if (applied)
    View.setMap(Change->version(), ActivePlan.Map);
  Change.reset();
  ++ChangeNumber;
  for (auto &it : Members)
    it.StateReadPending = false;
  HoldSentAt = {};
  NextPlanAt = {};
  ActivePlan = {};
  StatesValidFrom = Clock::now();
  View.clearStates();
  AdvanceTimer.cancel();
  if (!applied)
    return;
  if (ChangeAppliedHandler)
    ChangeAppliedHandler(Estimator.loads());
  // Poll at once, as a popularity jump may take several changes.
  poll();
}

/// Two coordinators that replace each other's changes at once would do so
/// forever, so the one whose changes are replaced lets the other one finish.
void Coordinator::recordReplacement() {
  if (++ReplacedChanges < ReplacementsBeforeYield)
    return;
  ReplacedChanges = 0;
  YieldUntil = Clock::now() + YieldTime;
  base::logDecision(
      "map.yield", {{"version", Change->version()}, {"ms", YieldTime.count()}});
}

} // namespace bergamot::sidecar
