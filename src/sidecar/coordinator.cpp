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

/// Polls in a row that show a held or armed rank without a change of this
/// coordinator before it takes the matter over: another one may be at work.
constexpr unsigned PollsBeforeAdoption = 2;
/// Time between questions about the progress of a copy, unless the rank's
/// sidecar waits for it.
constexpr milliseconds CopyReadPeriod{80};
/// The same while the group may be held, which is soon over.
constexpr milliseconds HeldReadPeriod{30};
/// A change that isn't finished by then is given up and looked at anew.
constexpr std::chrono::seconds MaxChangeTime{14};
/// Low bits of a version are for the orders that undo a change.
constexpr unsigned FenceBits = 8;
/// Random bits make versions of different coordinators, or of one before and
/// after a restart, differ.
constexpr unsigned RandomBits = 20;
/// Time to arm all ranks until it has been measured.
constexpr milliseconds FirstArmTime{100};
} // namespace

Coordinator::Coordinator(boost::asio::io_context &loop,
                         const CoordinatorSettings &settings,
                         std::vector<std::shared_ptr<MemberPort>> ranks)
    : Loop(loop), Settings(settings), PollTimer(loop), DriveTimer(loop),
      View(ranks.size(), settings.Sets, settings.Experts),
      Estimate(settings.Sets, settings.Experts, settings.KeepLoads),
      Random(std::random_device{}()), ArmTime(FirstArmTime) {
  for (auto &it : ranks) {
    Seat seat;
    seat.Port = std::move(it);
    Seats.push_back(std::move(seat));
  }
}

void Coordinator::start() { poll(); }

void Coordinator::poll() {
  const TimePoint deadline = Clock::now() + Settings.PollTimeout;
  const std::uint64_t number = ++PollNumber;
  MissingAnswers = Seats.size();
  const bool needsStates =
      Skew > 1 + Settings.MinSkewDrop || !View.hasCurrentMap();
  if (!Change && (needsStates || number % Settings.StatePolls == 0)) {
    MissingAnswers += Seats.size();
    readStates(deadline);
  }
  for (std::uint32_t i = 0; i < Seats.size(); ++i)
    Seats[i].Port->fetchCounts(
        deadline, [this, number, alive = std::weak_ptr<int>(Alive)](
                      const std::optional<AddedCounts> &counts) {
          if (alive.expired())
            return;
          if (counts)
            Estimate.addCounts(*counts);
          addAnswer(number);
        });
  PollTimer.expires_after(Settings.PollPeriod);
  PollTimer.async_wait([this, alive = std::weak_ptr<int>(Alive)](
                           const boost::system::error_code &ec) {
    if (ec || alive.expired())
      return;
    if (MissingAnswers > 0)
      finishPoll();
    poll();
  });
}

void Coordinator::readStates(TimePoint deadline) {
  for (std::uint32_t i = 0; i < Seats.size(); ++i) {
    if (Seats[i].Reading) {
      addAnswer(PollNumber);
      continue;
    }
    Seats[i].Reading = true;
    Seats[i].Port->fetchState(
        deadline, [this, i, number = PollNumber, change = ChangeNumber,
                   readAt = Clock::now(), alive = std::weak_ptr<int>(Alive)](
                      const std::optional<RankState> &state) {
          if (alive.expired())
            return;
          if (change != ChangeNumber) {
            addAnswer(number);
            return;
          }
          Seats[i].Reading = false;
          // A state from before a change would mislead the next decision.
          if (state && !Change && readAt >= StatesFrom) {
            View.setState(i, *state, readAt);
            Steps.addReport(*state, Clock::now());
          }
          addAnswer(number);
        });
  }
}

/// Ends the poll early if all answers are there.
void Coordinator::addAnswer(std::uint64_t poll) {
  if (poll == PollNumber && MissingAnswers > 0 && --MissingAnswers == 0)
    finishPoll();
}

void Coordinator::finishPoll() {
  MissingAnswers = 0;
  if (View.hasMap()) {
    const GroupMap map = View.map();
    const bool jumped = Estimate.finishUpdate(map);
    Skew = experts::groupSkew(map, Estimate.loads(), View.paces());
    if (jumped) {
      base::logDecision("popularity.jumped", {{"skew", Skew}});
      NextPlanAt = {};
    }
  }
  if (Change)
    replaceStalePlan();
  else
    evaluate();
}

void Coordinator::evaluate() {
  const TimePoint now = Clock::now();
  if (!View.othersAnswer(now))
    return;
  if (!View.answers(experts::LastArmedRank, now)) {
    considerAdoption();
    return;
  }
  if (!View.hasCurrentMap()) {
    readExperts();
    return;
  }
  if (View.isSettled()) {
    UnsettledPolls = 0;
    considerChange();
  } else {
    considerAdoption();
  }
}

/// Popularity may jump while the ranks copy for a plan that answers the old
/// one. Nothing is armed then, so the change can be replaced at once.
void Coordinator::replaceStalePlan() {
  if (!Change->isPreparing() || Planned.Map.empty())
    return;
  const double skew =
      experts::groupSkew(Planned.Map, Estimate.loads(), View.paces());
  if (skew < Settings.StalePlanGrowth * Planned.SkewAfter)
    return;
  base::logDecision("map.plan_stale", {{"version", Change->version()},
                                       {"planned_skew", Planned.SkewAfter},
                                       {"skew", skew}});
  finishChange();
}

void Coordinator::readExperts() {
  const TimePoint deadline = Clock::now() + Settings.PollTimeout;
  for (std::uint32_t i = 0; i < Seats.size(); ++i)
    Seats[i].Port->fetchExperts(
        deadline, [this, i, alive = std::weak_ptr<int>(Alive)](
                      const std::optional<RankExperts> &experts) {
          if (alive.expired() || !experts)
            return;
          const bool hadMap = View.hasCurrentMap();
          View.setExperts(i, *experts);
          if (!Change && !hadMap && View.hasCurrentMap())
            finishPoll();
        });
}

/// Returns a version above all that the ranks report and this coordinator has
/// used: what a rank copies, perhaps for another coordinator, isn't reported.
std::uint64_t Coordinator::newVersion() {
  const std::uint64_t highest = std::max(LastVersion, View.highestVersion());
  constexpr unsigned Shift = FenceBits + RandomBits;
  const std::uint64_t random = Random() & ((1ULL << RandomBits) - 1);
  LastVersion = ((highest >> Shift) + 1) << Shift | random << FenceBits;
  return LastVersion;
}

void Coordinator::considerAdoption() {
  // Without a hold, armed ranks switch by themselves.
  if (!View.isHeld()) {
    UnsettledPolls = 0;
    return;
  }
  const TimePoint now = Clock::now();
  ++UnsettledPolls;
  // Orders that undo a change contain the map in use.
  const bool knowsExperts = View.hasMapOfAnswering(now);
  if (!knowsExperts)
    readExperts();
  if (!knowsExperts || UnsettledPolls < PollsBeforeAdoption)
    return;
  UnsettledPolls = 0;
  const bool reachesFirst = View.answers(experts::LastArmedRank, now);
  const RankState &last =
      *View.state(static_cast<std::uint32_t>(Seats.size() - 1));
  base::logDecision("map.adopt", {{"epoch", last.Epoch},
                                  {"step", last.Step},
                                  {"reaches_first", reachesFirst}});
  ChangeStartedAt = now;
  ChangeEndsAt = now + MaxChangeTime;
  Planned = {};
  Change = MapChange::adopted(Settings.Change, newVersion(), View.map(),
                              View.states(), reachesFirst, now);
  drive();
}

void Coordinator::considerChange() {
  const TimePoint now = Clock::now();
  const bool worsened = Skew >= UselessPlanSkew * (1 + Settings.MinSkewDrop);
  if (Estimate.weight() < Settings.MinWeight || (now < NextPlanAt && !worsened))
    return;
  NextPlanAt = now + Settings.ReplanPeriod;
  const GroupMap current = View.map();
  experts::GroupPlanLimits limits = Settings.Limits;
  limits.RankPace = View.paces();
  auto plan = experts::planGroup(current, Estimate.loads(), limits);
  const double drop = 1 - plan.SkewAfter / plan.SkewBefore;
  if (drop < Settings.MinSkewDrop) {
    UselessPlanSkew = plan.SkewBefore;
    return;
  }
  Planned = std::move(plan);
  ChangeStartedAt = Clock::now();
  ChangeEndsAt = ChangeStartedAt + MaxChangeTime;
  Settings.Change.StepMargin = experts::stepMargin(ArmTime, Steps.stepTime());
  Change.emplace(Settings.Change, newVersion(), Planned.Map, current,
                 View.states(), ChangeStartedAt);
  base::logDecision("map.plan",
                    {{"version", Change->version()},
                     {"epoch", View.state(0)->Epoch},
                     {"step", View.state(0)->Step},
                     {"skew", Planned.SkewBefore},
                     {"planned_skew", Planned.SkewAfter},
                     {"copies", Planned.Copies},
                     {"most_copies", Planned.MostCopies},
                     {"step_margin", Settings.Change.StepMargin},
                     {"step_ms", base::wholeMilliseconds(Steps.stepTime())},
                     {"arm_ms", base::wholeMilliseconds(ArmTime)},
                     {"choices", Estimate.weight()}});
  drive();
}

void Coordinator::drive() {
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
    Seats[rank].Port->sendOrder(
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
          drive();
        });
  }
  for (const std::uint32_t rank : Change->ranksToRead())
    fetchChangeState(rank, now);
  if (Change->outcome() != MapChange::Outcome::Running || now >= ChangeEndsAt)
    finishChange();
  else
    scheduleDrive();
}

/// Reads the state of a rank that the change needs to know.
void Coordinator::fetchChangeState(std::uint32_t rank, TimePoint now) {
  Seat &seat = Seats[rank];
  const bool repeats = Change->isPreparing() || Change->mayHold();
  if (seat.Reading || (repeats && now < seat.NextReadAt))
    return;
  seat.Reading = true;
  seat.NextReadAt =
      now + (Change->isPreparing() ? CopyReadPeriod : HeldReadPeriod);
  const auto onState = [this, rank, number = ChangeNumber,
                        alive = std::weak_ptr<int>(Alive)](
                           const std::optional<RankState> &state) {
    if (alive.expired() || number != ChangeNumber)
      return;
    Seats[rank].Reading = false;
    if (!Change || !state)
      return;
    const TimePoint at = Clock::now();
    Steps.addReport(*state, at);
    Change->setState(rank, *state, at);
    drive();
  };
  if (Change->isPreparing())
    seat.Port->awaitCopies(Change->version(), now + Settings.CopyTimeout,
                           onState);
  else
    seat.Port->fetchState(now + Settings.OrderTimeout, onState);
}

void Coordinator::scheduleDrive() {
  DriveTimer.expires_after(Settings.DrivePeriod);
  DriveTimer.async_wait([this, alive = std::weak_ptr<int>(Alive)](
                            const boost::system::error_code &ec) {
    if (!ec && !alive.expired())
      drive();
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
  if (applied)
    View.setMap(Change->version(), Planned.Map);
  Change.reset();
  ++ChangeNumber;
  for (auto &it : Seats)
    it.Reading = false;
  HoldSentAt = {};
  NextPlanAt = {};
  Planned = {};
  StatesFrom = Clock::now();
  View.forgetStates();
  DriveTimer.cancel();
  if (!applied)
    return;
  if (Applied)
    Applied(Estimate.loads());
  // The next change, if it takes several to even out a jump, needn't wait.
  poll();
}

} // namespace bergamot::sidecar
