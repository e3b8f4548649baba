#include "groupmodel.h"
#include "libbergamotexperts/mapchange.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

using namespace bergamot;
using namespace bergamot::experts;
using namespace std::chrono_literals;

namespace {

base::TimePoint at(std::chrono::milliseconds time) {
  return base::TimePoint() + time;
}

/// An order in flight, with the coordinator that waits for its result.
struct InFlightOrder {
  std::uint32_t Rank;
  RankOrder Order;
  int Coordinator;
  /// The coordinator has stopped waiting; the order may still arrive.
  bool ResultLost = false;
};

/// Probabilities of faults per event, and the number of coordinators.
struct FaultRates {
  double Loss = 0.15;
  double Pause = 0.02;
  double Restart = 0.0;
  int Coordinators = 2;
};

/// Runs coordinators against a group in random order: orders arrive late, out
/// of order or after the coordinator stopped waiting, and coordinators pause
/// for long periods and continue with outdated state.
class RandomRun {
public:
  RandomRun(std::uint64_t seed, const FaultRates &rates)
      : Random(seed), Rates(rates), Group(3),
        Changes(static_cast<std::size_t>(rates.Coordinators)),
        PausedTurns(Changes.size(), 0), LastStep(Changes.size(), 0) {}

  void simulate(int events) {
    for (int i = 0; i < events && Group.violation().empty(); ++i) {
      Now += 5ms;
      switch (randomBelow(6)) {
      case 0:
        Group.beginStep();
        break;
      case 1:
        Group.finishCopy(static_cast<std::uint32_t>(randomBelow(3)));
        break;
      case 2:
        deliver();
        break;
      case 3:
        timeOutOrder();
        break;
      default:
        runCoordinator(randomBelow(Rates.Coordinators));
        break;
      }
      if (chance(Rates.Restart))
        Group.restart();
    }
  }

  /// Runs one coordinator alone without faults until the group is released.
  bool settle() {
    Rates = {0, 0, 0, 1};
    std::fill(PausedTurns.begin(), PausedTurns.end(), 0);
    for (auto it = Changes.begin() + 1; it != Changes.end(); ++it)
      it->reset();
    for (int i = 0; i < 4000; ++i) {
      Now += 5ms;
      for (std::uint32_t r = 0; r < 3; ++r)
        Group.finishCopy(r);
      while (!Orders.empty())
        deliver();
      if (!Changes[0] && !Group.isHeld())
        return true;
      runCoordinator(0);
    }
    return false;
  }

  /// Runs one coordinator while rank 0 doesn't answer and the other
  /// coordinators are paused. Their orders, and those to rank 0, stay in
  /// flight. Returns false if the group is still held although another rank
  /// isn't armed for the held step.
  bool settleWithoutRankZero() {
    const FaultRates savedRates = Rates;
    Rates = {0, 0, 0, 1};
    RankZeroSilent = true;
    PausedTurns[0] = 0;
    bool settled = false;
    for (int i = 0; i < 8000 && !settled; ++i) {
      Now += 5ms;
      for (std::uint32_t r = 1; r < 3; ++r)
        Group.finishCopy(r);
      deliverOwnOrders();
      runCoordinator(0);
      settled = !Group.isHeld() && !(Changes[0] && Changes[0]->mayBeHeld());
    }
    RankZeroSilent = false;
    Rates = savedRates;
    return settled || othersArmed();
  }

  const GroupModel &group() const { return Group; }
  int applied() const { return Applied; }

private:
  int randomBelow(int n) {
    return static_cast<int>(Random() % static_cast<std::uint64_t>(n));
  }
  bool chance(double p) {
    return std::uniform_real_distribution<>(0, 1)(Random) < p;
  }

  void deliver() {
    if (Orders.empty())
      return;
    const auto it =
        Orders.begin() + randomBelow(static_cast<int>(Orders.size()));
    const InFlightOrder order = *it;
    Orders.erase(it);
    const bool accepted = Group.execute(order.Rank, order.Order);
    auto &change = Changes[static_cast<std::size_t>(order.Coordinator)];
    if (!order.ResultLost && change)
      change->setResult(
          order.Rank, accepted ? OrderResult::Accepted : OrderResult::Conflict,
          at(Now));
  }

  /// Delivers the orders of coordinator 0 except those to rank 0, whose results
  /// never arrive.
  void deliverOwnOrders() {
    for (std::size_t n = Orders.size(); n > 0; --n) {
      const InFlightOrder order = Orders.front();
      Orders.pop_front();
      if (order.ResultLost || order.Coordinator != 0) {
        Orders.push_back(order);
        continue;
      }
      auto result = OrderResult::Unknown;
      if (order.Rank == 0) {
        Orders.push_back(order);
        Orders.back().ResultLost = true;
      } else {
        result = Group.execute(order.Rank, order.Order) ? OrderResult::Accepted
                                                        : OrderResult::Conflict;
      }
      if (Changes[0])
        Changes[0]->setResult(order.Rank, result, at(Now));
    }
  }

  bool othersArmed() const {
    for (std::uint32_t r = 1; r < 3; ++r) {
      const auto armed = Group.state(r).Armed;
      if (!armed || armed->Step != Group.state(1).HeldStep)
        return false;
    }
    return true;
  }

  void timeOutOrder() {
    for (auto &it : Orders) {
      if (it.ResultLost || !chance(Rates.Loss))
        continue;
      it.ResultLost = true;
      if (auto &change = Changes[static_cast<std::size_t>(it.Coordinator)])
        change->setResult(it.Rank, OrderResult::Unknown, at(Now));
      return;
    }
  }

  void runCoordinator(int index) {
    const auto i = static_cast<std::size_t>(index);
    if (PausedTurns[i] > 0) {
      --PausedTurns[i];
      return;
    }
    if (chance(Rates.Pause))
      PausedTurns[i] = randomBelow(80);
    auto &change = Changes[i];
    if (!change) {
      startChange(index);
      return;
    }
    for (const std::uint32_t rank : change->ranksToRead())
      if (rank != 0 || !RankZeroSilent)
        change->setState(rank, Group.state(rank), at(Now));
    for (const auto &it : change->takeOrders(at(Now)))
      Orders.push_back({it.Rank, it.Order, index});
    if (change->outcome() == MapChange::Outcome::Running)
      return;
    Applied += change->outcome() == MapChange::Outcome::Applied ? 1 : 0;
    LastStep[i] = std::max(LastStep[i], change->step());
    discardResults(index);
    change.reset();
  }

  /// Results of a finished change's orders don't apply to the next one.
  void discardResults(int index) {
    for (auto &it : Orders)
      it.ResultLost = it.ResultLost || it.Coordinator == index;
  }

  void startChange(int index) {
    std::vector<RankState> states;
    bool armed = false;
    bool held = false;
    std::uint64_t highest = 0;
    for (std::uint32_t r = 0; r < 3; ++r) {
      states.push_back(r == 0 && RankZeroSilent ? RankState() : Group.state(r));
      armed = armed || states.back().Armed;
      held = held || states.back().HeldStep;
      highest = std::max(
          {highest, states.back().PreparedVersion, states.back().MapVersion});
    }
    // Random low bits make the versions of different coordinators differ.
    const std::uint64_t version = ((highest >> 16) + 1) << 16 |
                                  static_cast<std::uint64_t>(randomBelow(256))
                                      << 8;
    const GroupMap current = {{{0}, {1}, {2}}};
    const GroupMap next = {
        {{0, static_cast<std::uint32_t>(version & 0xffff)}, {1}, {2}}};
    auto &change = Changes[static_cast<std::size_t>(index)];
    if (held)
      change = std::make_unique<MapChange>(MapChange::adoptHeldStep(
          {}, version, current, states, !RankZeroSilent, at(Now)));
    else if (!armed && !RankZeroSilent &&
             Group.step() > LastStep[static_cast<std::size_t>(index)])
      change = std::make_unique<MapChange>(MapChangeSettings(), version, next,
                                           current, states, at(Now));
  }

  std::mt19937_64 Random;
  FaultRates Rates;
  GroupModel Group;
  std::vector<std::unique_ptr<MapChange>> Changes;
  std::vector<int> PausedTurns;
  std::vector<std::uint64_t> LastStep;
  std::deque<InFlightOrder> Orders;
  std::chrono::milliseconds Now{0};
  int Applied = 0;
  bool RankZeroSilent = false;
};

} // namespace

TEST_CASE("a change without faults is applied at one step") {
  RandomRun run(1, {0, 0, 0, 1});
  run.simulate(2000);
  CHECK(run.group().violation().empty());
  CHECK(run.applied() > 10);
}

TEST_CASE("no step begins with two maps if orders are lost or delayed") {
  // Guards against arm, hold, release or disarm orders that take effect late.
  int applied = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    CAPTURE(seed);
    RandomRun run(seed, {});
    run.simulate(1500);
    REQUIRE(run.group().violation().empty());
    applied += run.applied();
  }
  CHECK(applied > 3000);
}

TEST_CASE("no step begins with two maps while the group restarts") {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    CAPTURE(seed);
    RandomRun run(seed, {0.2, 0.05, 0.01, 3});
    run.simulate(1500);
    REQUIRE(run.group().violation().empty());
  }
}

TEST_CASE("the remaining coordinator always releases a held group") {
  // Guards against a hold that persists after its coordinator has failed.
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    CAPTURE(seed);
    RandomRun run(seed, {0.3, 0.05, 0, 2});
    run.simulate(400);
    REQUIRE(run.settle());
    REQUIRE(run.group().violation().empty());
  }
}

TEST_CASE("a group is released while the VM of rank 0 is paused") {
  // Guards against a group that waits for the coordinator's own rank, and
  // against two maps in a step once that rank resumes with outdated state.
  int waiting = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    RandomRun run(seed, {0.3, 0.05, 0, 3});
    for (int round = 0; round < 3; ++round) {
      run.simulate(300);
      REQUIRE(run.settleWithoutRankZero());
      REQUIRE(run.group().violation().empty());
      waiting += run.group().isHeld() ? 1 : 0;
    }
    run.simulate(600);
    REQUIRE(run.group().violation().empty());
    REQUIRE(run.settle());
    REQUIRE(run.group().violation().empty());
  }
  // The group waits for rank 0 only if all other ranks are armed.
  CHECK(waiting < 2000);
}

TEST_CASE("a change ends at once if a rank has seen a higher version") {
  // Guards against a coordinator that waits seconds for copies that never come
  // because another one has begun a change with a higher version.
  GroupModel group(3);
  const GroupMap map = {{{0}, {1}, {2}}};
  REQUIRE(group.execute(1, {OrderKind::Prepare, 500, 0, 1, map}));
  std::vector<RankState> states;
  for (std::uint32_t r = 0; r < 3; ++r)
    states.push_back(group.state(r));
  MapChange change({}, 400, map, map, states, at(0ms));
  for (const auto &it : change.takeOrders(at(1ms)))
    change.setResult(it.Rank,
                     group.execute(it.Rank, it.Order) ? OrderResult::Accepted
                                                      : OrderResult::Conflict,
                     at(2ms));
  CHECK(change.outcome() == MapChange::Outcome::Superseded);
}

TEST_CASE("a change waits for a copy whose order had no response") {
  // Guards against mistaking the refusal of a repeated order for a higher
  // version of another coordinator.
  GroupModel group(3);
  const GroupMap map = {{{0}, {1}, {2}}};
  std::vector<RankState> states;
  for (std::uint32_t r = 0; r < 3; ++r)
    states.push_back(group.state(r));
  MapChange change({}, 400, map, map, states, at(0ms));
  for (int turn = 1; turn <= 3; ++turn) {
    for (const auto &it : change.takeOrders(at(10ms * turn))) {
      const bool accepted = group.execute(it.Rank, it.Order);
      const bool resultLost = turn == 1 && it.Rank == 2;
      change.setResult(it.Rank,
                       resultLost ? OrderResult::Unknown
                       : accepted ? OrderResult::Accepted
                                  : OrderResult::Conflict,
                       at(10ms * turn));
    }
    if (turn == 3)
      for (std::uint32_t r = 0; r < 3; ++r)
        group.finishCopy(r);
    for (const std::uint32_t rank : change.ranksToRead())
      change.setState(rank, group.state(rank), at(10ms * turn));
  }
  CHECK(change.outcome() == MapChange::Outcome::Running);
  CHECK_FALSE(change.isPreparing());
}

TEST_CASE("the model detects a partially armed group") {
  // Shows that the model's check can fail.
  GroupModel group(2);
  RankOrder prepare{OrderKind::Prepare, 5, 0, 1, {{{0}, {1}}}};
  for (std::uint32_t r = 0; r < 2; ++r) {
    REQUIRE(group.execute(r, prepare));
    group.finishCopy(r);
  }
  REQUIRE(group.execute(0, {OrderKind::Arm, 5, 11, 1, {}}));
  group.beginStep();
  CHECK_FALSE(group.violation().empty());
}
