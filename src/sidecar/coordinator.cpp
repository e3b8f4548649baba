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
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

/// Polls in a row that show a held or armed rank without a change of this
/// coordinator before it takes the matter over: another one may be at work.
constexpr unsigned PollsBeforeAdoption = 2;
/// Age up to which a rank's state is used to decide on a change. An engine that
/// is called from another machine takes some hundred milliseconds to answer.
constexpr milliseconds MaxStateAge{1200};
/// Time between questions about the progress of a copy.
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

long long toMs(base::Duration it) {
  return duration_cast<milliseconds>(it).count();
}

} // namespace

Coordinator::Coordinator(boost::asio::io_context &loop,
                         const CoordinatorSettings &settings,
                         std::vector<std::shared_ptr<RankPort>> ranks)
    : Loop(loop), Settings(settings), PollTimer(loop), DriveTimer(loop),
      Estimate(settings.Sets, settings.Experts, settings.KeepLoads),
      Random(std::random_device{}()) {
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
  const bool needsStates = Skew > 1 + Settings.MinSkewDrop || !hasCurrentMap();
  if (!Change && (needsStates || number % Settings.StatePolls == 0)) {
    MissingAnswers += Seats.size();
    readStates(deadline);
  }
  for (std::uint32_t i = 0; i < Seats.size(); ++i)
    Seats[i].Port->fetchCounts(
        deadline, [this, i, number, alive = std::weak_ptr<int>(Alive)](
                      const std::optional<RankCounts> &counts) {
          if (alive.expired())
            return;
          if (counts)
            Estimate.addCounts(i, *counts);
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
        deadline, [this, i, number = PollNumber, readAt = Clock::now(),
                   alive = std::weak_ptr<int>(Alive)](
                      const std::optional<RankState> &state) {
          if (alive.expired())
            return;
          Seats[i].Reading = false;
          // A state from before a change would mislead the next decision.
          if (state && !Change && readAt >= StatesFrom)
            Seats[i].setState(*state, readAt);
          addAnswer(number);
        });
  }
}

/// Returns whether a rank answers and its group is open.
bool Coordinator::answers(const Seat &seat) const {
  return seat.State && seat.State->GroupOpen &&
         seat.StateReadAt >= Clock::now() - MaxStateAge;
}

/// Returns whether all ranks but experts::LastArmedRank answer.
bool Coordinator::othersAnswer() const {
  for (std::uint32_t i = 0; i < Seats.size(); ++i)
    if (i != experts::LastArmedRank && !answers(Seats[i]))
      return false;
  return true;
}

/// Ends the poll early if all answers are there.
void Coordinator::addAnswer(std::uint64_t poll) {
  if (poll == PollNumber && MissingAnswers > 0 && --MissingAnswers == 0)
    finishPoll();
}

bool Coordinator::isSettled() const {
  const auto &first = Seats.front().State;
  return std::all_of(Seats.begin(), Seats.end(), [&](const Seat &it) {
    return it.State && it.State->Epoch == first->Epoch && it.State->GroupOpen &&
           it.State->MapVersion == first->MapVersion && !it.State->Armed &&
           !it.State->HeldStep;
  });
}

void Coordinator::finishPoll() {
  MissingAnswers = 0;
  const bool knowsMap = std::all_of(Seats.begin(), Seats.end(),
                                    [](const Seat &it) { return it.Experts; });
  if (knowsMap) {
    const GroupMap map = currentMap();
    const bool jumped = Estimate.finishUpdate(map);
    Skew = experts::groupSkew(map, Estimate.loads(), paces());
    if (jumped)
      base::logDecision("popularity.jumped", {{"skew", Skew}});
  }
  if (Change)
    replaceStalePlan();
  else
    evaluate();
}

void Coordinator::evaluate() {
  if (!othersAnswer())
    return;
  if (!answers(Seats[experts::LastArmedRank])) {
    considerAdoption();
    return;
  }
  if (!hasCurrentMap()) {
    readExperts();
    return;
  }
  if (isSettled()) {
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
      experts::groupSkew(Planned.Map, Estimate.loads(), paces());
  if (skew < Settings.StalePlanGrowth * Planned.SkewAfter)
    return;
  base::logDecision("map.plan_stale", {{"version", Change->version()},
                                       {"planned_skew", Planned.SkewAfter},
                                       {"skew", skew}});
  finishChange();
}

/// The map that the ranks state belongs to the version that they run.
bool Coordinator::hasCurrentMap() const {
  return std::all_of(Seats.begin(), Seats.end(), [](const Seat &it) {
    return it.Experts && it.State && it.Experts->Epoch == it.State->Epoch &&
           it.Experts->MapVersion == it.State->MapVersion;
  });
}

void Coordinator::readExperts() {
  const TimePoint deadline = Clock::now() + Settings.PollTimeout;
  for (std::uint32_t i = 0; i < Seats.size(); ++i)
    Seats[i].Port->fetchExperts(deadline,
                                [this, i, alive = std::weak_ptr<int>(Alive)](
                                    const std::optional<RankExperts> &experts) {
                                  if (!alive.expired() && experts)
                                    Seats[i].Experts = experts;
                                });
}

/// Returns the map in use. A rank whose experts aren't known is taken to hold
/// those that no other one does.
GroupMap Coordinator::currentMap() const {
  GroupMap map(Settings.Sets);
  for (std::uint32_t s = 0; s < Settings.Sets; ++s) {
    std::vector<bool> isHeld(Settings.Experts, false);
    for (const auto &it : Seats) {
      const bool known = it.Experts && s < it.Experts->Experts.size();
      map[s].push_back(known ? it.Experts->Experts[s]
                             : std::vector<std::uint32_t>());
      for (const std::uint32_t expert : map[s].back())
        if (expert < isHeld.size())
          isHeld[expert] = true;
    }
    const auto unknown = std::find_if(
        Seats.begin(), Seats.end(), [](const Seat &it) { return !it.Experts; });
    if (unknown == Seats.end())
      continue;
    auto &experts = map[s][static_cast<std::size_t>(unknown - Seats.begin())];
    for (std::uint32_t e = 0; e < Settings.Experts; ++e)
      if (!isHeld[e])
        experts.push_back(e);
  }
  return map;
}

std::vector<RankState> Coordinator::states() const {
  std::vector<RankState> all;
  for (const auto &it : Seats)
    all.push_back(it.State.value_or(RankState()));
  return all;
}

/// Returns the ranks' paces; small differences are no slowness.
std::vector<double> Coordinator::paces() const {
  std::vector<double> paces;
  for (const auto &it : Seats)
    paces.push_back(it.Pace < experts::MinSlowPace ? 1 : it.Pace);
  return paces;
}

/// Returns a version above all that the ranks report and this coordinator has
/// used: what a rank copies, perhaps for another coordinator, isn't reported.
std::uint64_t Coordinator::newVersion() {
  std::uint64_t highest = LastVersion;
  for (const auto &it : Seats) {
    if (!it.State)
      continue;
    highest =
        std::max({highest, it.State->MapVersion, it.State->PreparedVersion});
    if (it.State->Armed)
      highest = std::max(highest, it.State->Armed->Version);
  }
  constexpr unsigned Shift = FenceBits + RandomBits;
  const std::uint64_t random = Random() & ((1ULL << RandomBits) - 1);
  LastVersion = ((highest >> Shift) + 1) << Shift | random << FenceBits;
  return LastVersion;
}

void Coordinator::considerAdoption() {
  const bool held = std::any_of(Seats.begin(), Seats.end(), [](const Seat &it) {
    return it.State && it.State->HeldStep.has_value();
  });
  // Without a hold, armed ranks switch by themselves.
  if (!held) {
    UnsettledPolls = 0;
    return;
  }
  ++UnsettledPolls;
  // Orders that undo a change contain the map in use.
  const bool knowsExperts =
      std::all_of(Seats.begin(), Seats.end(),
                  [&](const Seat &it) { return it.Experts || !answers(it); });
  if (!knowsExperts)
    readExperts();
  if (!knowsExperts || UnsettledPolls < PollsBeforeAdoption)
    return;
  UnsettledPolls = 0;
  const bool reachesFirst = answers(Seats[experts::LastArmedRank]);
  base::logDecision("map.adopt", {{"epoch", Seats.back().State->Epoch},
                                  {"step", Seats.back().State->Step},
                                  {"reaches_first", reachesFirst}});
  ChangeStartedAt = Clock::now();
  ChangeEndsAt = ChangeStartedAt + MaxChangeTime;
  Planned = {};
  Change = MapChange::adopted(Settings.Change, newVersion(), currentMap(),
                              states(), reachesFirst, ChangeStartedAt);
  drive();
}

void Coordinator::considerChange() {
  if (Estimate.weight() < Settings.MinWeight)
    return;
  const GroupMap current = currentMap();
  experts::GroupPlanLimits limits = Settings.Limits;
  limits.RankPace = paces();
  auto plan = experts::planGroup(current, Estimate.loads(), limits);
  const double drop = 1 - plan.SkewAfter / plan.SkewBefore;
  if (drop < Settings.MinSkewDrop)
    return;
  Planned = std::move(plan);
  ChangeStartedAt = Clock::now();
  ChangeEndsAt = ChangeStartedAt + MaxChangeTime;
  Change.emplace(Settings.Change, newVersion(), Planned.Map, current, states(),
                 ChangeStartedAt);
  base::logDecision("map.plan", {{"version", Change->version()},
                                 {"epoch", Seats.front().State->Epoch},
                                 {"step", Seats.front().State->Step},
                                 {"skew", Planned.SkewBefore},
                                 {"planned_skew", Planned.SkewAfter},
                                 {"copies", Planned.Copies},
                                 {"most_copies", Planned.MostCopies},
                                 {"choices", Estimate.weight()}});
  drive();
}

void Coordinator::drive() {
  if (!Change)
    return;
  const TimePoint now = Clock::now();
  for (auto &it : Change->takeOrders(now)) {
    const std::uint32_t rank = it.Rank;
    Seats[rank].Port->sendOrder(
        it.Order, now + Settings.OrderTimeout,
        [this, rank, kind = it.Order.Kind,
         alive = std::weak_ptr<int>(Alive)](OrderResult result) {
          if (alive.expired() || !Change)
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
  for (const std::uint32_t rank : Change->ranksToRead()) {
    Seat &seat = Seats[rank];
    const bool repeats = Change->isPreparing() || Change->mayHold();
    if (seat.Reading || (repeats && now < seat.NextReadAt))
      continue;
    seat.Reading = true;
    seat.NextReadAt =
        now + (Change->isPreparing() ? CopyReadPeriod : HeldReadPeriod);
    seat.Port->fetchState(now + Settings.OrderTimeout,
                          [this, rank, alive = std::weak_ptr<int>(Alive)](
                              const std::optional<RankState> &state) {
                            if (alive.expired())
                              return;
                            Seats[rank].Reading = false;
                            if (!Change || !state)
                              return;
                            Change->setState(rank, *state, Clock::now());
                            drive();
                          });
  }
  if (Change->outcome() != MapChange::Outcome::Running || now >= ChangeEndsAt)
    finishChange();
  else
    scheduleDrive();
}

void Coordinator::scheduleDrive() {
  DriveTimer.expires_after(Settings.DrivePeriod);
  DriveTimer.async_wait([this, alive = std::weak_ptr<int>(Alive)](
                            const boost::system::error_code &ec) {
    if (!ec && !alive.expired())
      drive();
  });
}

/// Notes the map that the group switches to. An adopted change's map isn't
/// known here; the ranks are asked for it.
void Coordinator::setAppliedMap() {
  for (std::uint32_t r = 0; r < Seats.size(); ++r) {
    auto &experts = Seats[r].Experts;
    if (!experts || Planned.Map.empty()) {
      experts.reset();
      continue;
    }
    experts->MapVersion = Change->version();
    for (std::size_t s = 0; s < Planned.Map.size(); ++s)
      experts->Experts[s] = Planned.Map[s][r];
  }
}

void Coordinator::finishChange() {
  const auto outcome = Change->outcome();
  const char *name = outcome == MapChange::Outcome::Applied      ? "applied"
                     : outcome == MapChange::Outcome::Abandoned  ? "abandoned"
                     : outcome == MapChange::Outcome::Superseded ? "superseded"
                                                                 : "given_up";
  base::logDecision("map.change",
                    {{"version", Change->version()},
                     {"step", Change->step()},
                     {"outcome", name},
                     {"phase", Change->phaseName()},
                     {"took_ms", toMs(Clock::now() - ChangeStartedAt)}});
  if (outcome == MapChange::Outcome::Applied)
    setAppliedMap();
  Change.reset();
  Planned = {};
  StatesFrom = Clock::now();
  for (auto &it : Seats)
    it.State.reset();
  DriveTimer.cancel();
}

} // namespace bergamot::sidecar
