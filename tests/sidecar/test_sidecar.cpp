#include "mapchange/groupmodel.h"
#include "sidecar/coordinator.h"
#include "sidecar/coordinatorelection.h"
#include "sidecar/loadestimator.h"
#include "sidecar/peerrankclient.h"
#include "sidecar/popularityrecord.h"
#include "sidecar/rankcodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <cmath>
#include <memory>
#include <random>
#include <set>

using namespace bergamot;
using namespace bergamot::sidecar;
using namespace std::chrono_literals;
using experts::GroupMap;
using experts::GroupModel;
using experts::OrderResult;
using experts::RankOrder;

namespace {

constexpr std::uint32_t Ranks = 4;
constexpr std::uint32_t Experts = 16;

base::TimePoint at(std::chrono::milliseconds time) {
  return base::TimePoint() + time;
}

/// Map 0 of the engines: experts in turn, one set.
GroupMap initialMap() {
  GroupMap map(1);
  for (std::uint32_t r = 0; r < Ranks; ++r) {
    map[0].emplace_back();
    for (std::uint32_t e = r; e < Experts; e += Ranks)
      map[0][r].push_back(e);
  }
  return map;
}

/// A rank of a modelled group, with counters that grow by `Popularity`.
class ModelRank final : public MemberPort {
public:
  struct Shared {
    GroupModel Group{Ranks};
    std::map<std::uint64_t, GroupMap> Maps{{0, initialMap()}};
    std::vector<double> Popularity = std::vector<double>(Experts, 1000);
    bool LosesOrders = false;
    /// Rank 0 answers nothing, as its VM stands still.
    bool FirstIsSilent = false;
    /// Copies that were begun before the first order take for ever.
    bool FinishesCopies = true;
    std::mt19937_64 Random{3};
  };

  ModelRank(boost::asio::io_context &loop, Shared &shared, std::uint32_t rank)
      : Loop(loop), Common(shared), Index(rank) {}

  void fetchState(base::TimePoint, StateCompletion done) override {
    if (Common.FinishesCopies)
      Common.Group.finishCopy(Index);
    if (isSilent())
      return post([done] { done(std::nullopt); });
    post([state = Common.Group.state(Index), done] { done(state); });
  }
  void fetchCounts(base::TimePoint, CountsCompletion done) override {
    if (isSilent())
      return post([done] { done(std::nullopt); });
    // Only rank 0 counts, so that the sum is the popularity.
    AddedCounts counts(Experts, 0);
    for (std::uint32_t e = 0; Index == 0 && e < Experts; ++e)
      counts[e] = static_cast<std::uint32_t>(Common.Popularity[e]);
    post([counts, done] { done(counts); });
  }
  void awaitCopies(std::uint64_t, base::TimePoint deadline,
                   StateCompletion done) override {
    fetchState(deadline, std::move(done));
  }
  void fetchExperts(base::TimePoint, ExpertsCompletion done) override {
    if (isSilent())
      return post([done] { done(std::nullopt); });
    const std::uint64_t version = Common.Group.state(Index).MapVersion;
    RankExperts experts{1, version, {Common.Maps[version][0][Index]}};
    post([experts, done] { done(experts); });
  }
  void sendOrder(const RankOrder &order, base::TimePoint,
                 OrderCompletion done) override {
    if (isSilent())
      return post([done] { done(OrderResult::Unknown); });
    if (order.Kind == experts::OrderKind::Prepare)
      Common.Maps[order.Version] = order.Map;
    const bool lost = Common.LosesOrders && Common.Random() % 3 == 0;
    const bool accepted = Common.Group.carryOut(Index, order);
    Common.FinishesCopies = Common.FinishesCopies || accepted;
    post([=] {
      done(lost       ? OrderResult::Unknown
           : accepted ? OrderResult::Accepted
                      : OrderResult::Conflict);
    });
  }

private:
  bool isSilent() const { return Index == 0 && Common.FirstIsSilent; }
  template <typename Task> void post(Task task) {
    boost::asio::post(Loop, std::move(task));
  }

  boost::asio::io_context &Loop;
  Shared &Common;
  std::uint32_t Index;
};

CoordinatorSettings quickSettings() {
  CoordinatorSettings settings;
  settings.Sets = 1;
  settings.Experts = Experts;
  settings.Limits.PlacesPerRank = 6;
  settings.Limits.MaxNewPerSet = 2;
  settings.PollPeriod = 10ms;
  settings.PollTimeout = 8ms;
  settings.DrivePeriod = 3ms;
  settings.MinWeight = 100;
  return settings;
}

struct Running {
  explicit Running(ModelRank::Shared &shared) : Common(shared) { start(); }
  void start() {
    std::vector<std::shared_ptr<MemberPort>> ports;
    for (std::uint32_t r = 0; r < Ranks; ++r)
      ports.push_back(std::make_shared<ModelRank>(Loop, Common, r));
    Acting = std::make_unique<Coordinator>(Loop, quickSettings(), ports);
    Acting->start();
  }
  /// Lets another coordinator act on the same group.
  void addSecond() {
    auto first = std::move(Acting);
    start();
    Second = std::move(first);
  }
  void run(std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      Loop.run_one_for(2ms);
      if (++Turns % 8 == 0)
        Common.Group.beginStep();
    }
  }
  /// Runs until the condition holds; returns false after three seconds.
  template <typename Condition> bool runUntil(Condition holds) {
    for (int i = 0; i < 300 && !holds(); ++i)
      run(10ms);
    return holds();
  }
  double skew() const {
    const auto version = Common.Group.state(0).MapVersion;
    return experts::groupSkew(Common.Maps[version], {Common.Popularity});
  }

  boost::asio::io_context Loop;
  ModelRank::Shared &Common;
  std::unique_ptr<Coordinator> Acting;
  std::unique_ptr<Coordinator> Second;
  unsigned Turns = 0;
};

} // namespace

TEST_CASE("a coordinator evens out a jump of popularity") {
  // Load pattern: one expert gets a third of all tokens from now on.
  ModelRank::Shared shared;
  Running group(shared);
  group.run(200ms);
  CHECK(shared.Group.state(0).MapVersion == 0);
  shared.Popularity[5] = 8000;
  CHECK(group.skew() > 1.8);
  group.run(900ms);
  CHECK(shared.Group.state(0).MapVersion != 0);
  CHECK(group.skew() < 1.35);
  CHECK(shared.Group.fault().empty());
}

TEST_CASE("lost answers to orders delay a change but don't stop it") {
  ModelRank::Shared shared;
  shared.LosesOrders = true;
  Running group(shared);
  group.run(100ms);
  shared.Popularity[5] = 8000;
  group.run(2000ms);
  CHECK(group.skew() < 1.4);
  CHECK(shared.Group.fault().empty());
}

TEST_CASE("the next coordinator releases a group that the last one held") {
  // Guards against a group that waits for ever as its coordinator is gone, and
  // against use of a coordinator by timers and calls that outlive it.
  for (int round = 0; round < 40; ++round) {
    ModelRank::Shared shared;
    Running group(shared);
    group.run(60ms);
    shared.Popularity[static_cast<std::size_t>(round) % Experts] = 9000;
    group.run(std::chrono::milliseconds(20 + 2 * round));
    group.start(); // The old one is destroyed with calls in progress.
    group.run(400ms);
    CAPTURE(round);
    REQUIRE(shared.Group.fault().empty());
    const auto before = shared.Group.step();
    group.run(60ms);
    REQUIRE(shared.Group.step() > before);
  }
}

TEST_CASE("a coordinator releases a group that a silent rank 0 held") {
  // Guards against a group that stands still as long as the VM of its
  // coordinator does.
  ModelRank::Shared shared;
  shared.FirstIsSilent = true;
  const std::uint64_t held = shared.Group.step() + 1;
  REQUIRE(shared.Group.carryOut(1, {experts::OrderKind::Hold, 0, held, 1, {}}));
  Running group(shared);
  CHECK(group.runUntil([&] { return shared.Group.step() > held; }));
  CHECK(shared.Group.fault().empty());
}

TEST_CASE("copies for a coordinator that is gone don't block the next one") {
  // Guards against a group that stays uneven for seconds after a power loss: a
  // version that is being copied isn't reported, and lower ones are refused.
  ModelRank::Shared shared;
  shared.FinishesCopies = false;
  constexpr std::uint64_t FirstVersions = (std::uint64_t(2) << 28) - 256;
  for (std::uint32_t r = 0; r < Ranks; ++r)
    REQUIRE(shared.Group.carryOut(
        r, {experts::OrderKind::Prepare, FirstVersions, 0, 1, initialMap()}));
  Running group(shared);
  group.run(60ms);
  shared.Popularity[5] = 9000;
  // Less than the four seconds after which a change ends without all copies.
  CHECK(group.runUntil([&] { return group.skew() < 1.5; }));
  CHECK(shared.Group.fault().empty());
}

TEST_CASE("two coordinators may act on one group") {
  for (int round = 0; round < 5; ++round) {
    ModelRank::Shared shared;
    Running group(shared);
    group.addSecond();
    group.run(60ms);
    shared.Popularity[static_cast<std::size_t>(round) % Experts] = 9000;
    CAPTURE(round);
    CHECK(group.runUntil([&] { return group.skew() < 1.5; }));
    CHECK(shared.Group.fault().empty());
  }
}

TEST_CASE("the sidecar of a rank that holds a step for long takes over") {
  Duty duty(at(0ms));
  duty.setOpen(true, at(0ms));
  duty.addCall(0, 1, at(100ms));
  duty.setHeldStep(7, at(200ms));
  CHECK_FALSE(duty.isCoordinator(1, at(400ms)));
  duty.setHeldStep(8, at(450ms));
  CHECK_FALSE(duty.isCoordinator(1, at(600ms)));
  duty.setHeldStep(8, at(750ms));
  CHECK(duty.isCoordinator(1, at(750ms)));
}

TEST_CASE("the sidecar of the lowest rank that runs coordinates") {
  Duty first(at(0ms));
  Duty second(at(0ms));
  first.setOpen(true, at(0ms));
  second.setOpen(true, at(0ms));
  CHECK_FALSE(first.isCoordinator(0, at(900ms)));
  CHECK(first.isCoordinator(0, at(1000ms)));
  CHECK_FALSE(second.isCoordinator(1, at(1000ms)));
  second.addCall(0, 1, at(1100ms));
  CHECK_FALSE(second.isCoordinator(1, at(2300ms)));
  CHECK(second.isCoordinator(1, at(2350ms)));
  // Rank 0 is back: its calls end the other's duty, not the reverse.
  first.addCall(1, 0, at(2400ms));
  CHECK(first.isCoordinator(0, at(2400ms)));
  second.addCall(0, 1, at(2400ms));
  CHECK_FALSE(second.isCoordinator(1, at(2400ms)));
}

TEST_CASE("a sidecar that stood still coordinates no more") {
  // Guards against two coordinators after a VM has stood still: the other ranks
  // have one of their own by then.
  Duty duty(at(0ms));
  duty.setOpen(true, at(0ms));
  REQUIRE(duty.isCoordinator(0, at(1000ms)));
  duty.endPause(at(5000ms));
  CHECK_FALSE(duty.isCoordinator(0, at(5000ms)));
  duty.addCall(1, 0, at(5100ms));
  CHECK_FALSE(duty.isCoordinator(0, at(6000ms)));
  CHECK(duty.isCoordinator(0, at(6100ms)));
}

TEST_CASE("rank 0 coordinates a group that opens, and the others wait") {
  // Load pattern: all sidecars start at the same moment and wait for their
  // groups, longer than any of them waits for a coordinator.
  std::vector<Duty> duties(64, Duty(at(0ms)));
  for (std::uint32_t r = 0; r < duties.size(); ++r) {
    CHECK_FALSE(duties[r].isCoordinator(r, at(8000ms)));
    duties[r].setOpen(true, at(9000ms));
    CHECK(duties[r].isCoordinator(r, at(9000ms)) == (r == 0));
    CHECK(duties[r].isCoordinator(r, at(10000ms)) == (r == 0));
    // Rank 0 is dead: the next one takes over.
    CHECK(duties[r].isCoordinator(r, at(10250ms)) == (r <= 1));
  }
  // The group forms anew: who coordinates goes on, and nobody joins in.
  for (auto &it : duties)
    it.setOpen(false, at(11000ms));
  CHECK(duties[1].isCoordinator(1, at(13000ms)));
  for (auto &it : duties)
    it.setOpen(true, at(13000ms));
  duties[2].addCall(1, 2, at(13100ms));
  CHECK_FALSE(duties[2].isCoordinator(2, at(13200ms)));
}

TEST_CASE("the estimate averages and starts anew after a jump") {
  LoadEstimate estimate(1, 4, 0.5);
  const GroupMap map = {{{0}, {1}, {2}, {3}}};
  const auto add = [&](const AddedCounts &more) {
    estimate.addCounts(more);
    return estimate.finishUpdate(map);
  };
  CHECK_FALSE(add({10000, 10000, 10000, 10000}));
  CHECK_FALSE(add({11000, 9000, 10000, 10000}));
  CHECK(estimate.loads()[0][0] == Approx(16000));
  CHECK(add({40000, 1000, 1000, 1000}));
  CHECK(estimate.loads()[0][0] == Approx(40000));
  // Counts of another size, as of a rank that is asked for the first time.
  estimate.addCounts({});
  CHECK_FALSE(estimate.finishUpdate(map));
  CHECK(estimate.loads()[0][0] == Approx(40000));
}

TEST_CASE("an estimate starts with what an earlier coordinator has seen") {
  // Load pattern: a power loss; the first requests of a group that has formed
  // anew choose few experts, which is no jump of popularity.
  const GroupMap map = {{{0}, {1}, {2}, {3}}};
  LoadEstimate estimate(1, 4, 0.7);
  estimate.setEarlier({{500000, 500000, 500000, 500000}});
  CHECK(estimate.weight() == Approx(2000000));
  estimate.addCounts({60000, 0, 0, 0});
  CHECK_FALSE(estimate.finishUpdate(map));
  CHECK(experts::groupSkew(map, estimate.loads()) < 1.2);
  // A real jump shows in a usual number of choices.
  estimate.addCounts({700000, 10000, 10000, 10000});
  CHECK(estimate.finishUpdate(map));
  CHECK(estimate.loads()[0][0] == Approx(760000));
}

TEST_CASE("a jump that comes in small updates isn't hidden by the average") {
  // Guards against updates that are too small to show a jump and yet change the
  // estimate, so that the rest of the jump fits it.
  const GroupMap map = {{{0}, {1}, {2}, {3}}};
  LoadEstimate estimate(1, 4, 0.7);
  estimate.setEarlier({{2000000, 2000000, 2000000, 2000000}});
  bool jumped = false;
  for (int i = 0; i < 3 && !jumped; ++i) {
    estimate.addCounts({300000, 5000, 5000, 5000});
    jumped = estimate.finishUpdate(map);
  }
  CHECK(jumped);
  CHECK(experts::groupSkew(map, estimate.loads()) > 3);
}

TEST_CASE("a popularity record survives its encoding, damaged ones don't") {
  const experts::ExpertLoads loads = {{100000, 300, 0, 50000},
                                      {1, 1, 1, 1000000}};
  const std::string record = encodePopularity(loads);
  const auto decoded = decodePopularity(record, 2, 4);
  REQUIRE(decoded);
  for (std::size_t s = 0; s < 2; ++s)
    for (std::size_t e = 0; e < 4; ++e)
      CHECK((*decoded)[s][e] == Approx(loads[s][e]).epsilon(0.02).margin(4000));
  CHECK((*decoded)[0][2] == 0);
  CHECK_FALSE(decodePopularity(record, 4, 2));
  CHECK_FALSE(decodePopularity(record, 2, 5));
  for (std::size_t i = 0; i < record.size(); ++i) {
    std::string damaged = record;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x41);
    CHECK_FALSE(decodePopularity(damaged, 2, 4));
    CHECK_FALSE(decodePopularity(record.substr(0, i), 2, 4));
  }
  // 128 sets of 128 experts stay far below a record's limit of 256 KiB.
  const experts::ExpertLoads large(128, std::vector<double>(128, 7));
  CHECK(encodePopularity(large).size() < 20000);
}

TEST_CASE("the first plan of a new coordinator needs no counts of its own") {
  // Load pattern: all VMs lose power; the group opens with map 0, and nothing
  // is known of popularity but what the last coordinator has kept.
  ModelRank::Shared shared;
  shared.Popularity = std::vector<double>(Experts, 0);
  Running group(shared);
  experts::ExpertLoads earlier(1, std::vector<double>(Experts, 1000));
  earlier[0][5] = 8000;
  group.Acting->setEarlierLoads(earlier);
  experts::ExpertLoads kept;
  group.Acting->onApplied([&](const auto &loads) { kept = loads; });
  REQUIRE(
      group.runUntil([&] { return shared.Group.state(0).MapVersion != 0; }));
  const auto version = shared.Group.state(0).MapVersion;
  CHECK(experts::groupSkew(shared.Maps[version], earlier) <
        0.8 * experts::groupSkew(initialMap(), earlier));
  REQUIRE(group.runUntil([&] { return !kept.empty(); }));
  CHECK(kept[0][5] > kept[0][4]);
}

TEST_CASE("plans are valid and never worse than the present map") {
  std::mt19937_64 random(17);
  for (int round = 0; round < 60; ++round) {
    const std::uint32_t sets = 1 + random() % 3;
    const std::uint32_t ranks = 4 + random() % 9;
    const std::uint32_t count = ranks * 8;
    GroupMap map(sets);
    experts::ExpertLoads loads(sets, std::vector<double>(count));
    for (std::uint32_t s = 0; s < sets; ++s) {
      map[s].resize(ranks);
      for (std::uint32_t e = 0; e < count; ++e) {
        map[s][e % ranks].push_back(e);
        loads[s][e] =
            1 / std::pow(1.0 + static_cast<double>(random() % count), 1.3);
      }
    }
    experts::GroupPlanLimits limits;
    limits.PlacesPerRank = 11;
    limits.MaxNewPerSet = 4;
    limits.MaxNewPerRank = 1 + random() % 3;
    const auto plan = experts::planGroup(map, loads, limits);
    REQUIRE(plan.SkewAfter <= plan.SkewBefore + 1e-9);
    REQUIRE(plan.SkewAfter == Approx(experts::groupSkew(plan.Map, loads)));
    REQUIRE(plan.MostCopies <= limits.MaxNewPerRank);
    for (std::uint32_t s = 0; s < sets; ++s) {
      std::vector<int> holders(count, 0);
      for (std::uint32_t r = 0; r < ranks; ++r) {
        const auto &held = plan.Map[s][r];
        REQUIRE(held.size() <= limits.PlacesPerRank);
        REQUIRE(std::set<std::uint32_t>(held.begin(), held.end()).size() ==
                held.size());
        for (const std::uint32_t e : held)
          ++holders[e];
      }
      REQUIRE(*std::min_element(holders.begin(), holders.end()) >= 1);
    }
  }
}

TEST_CASE("a slow rank's tokens go to the others") {
  // Load pattern: one rank takes five times as long for several seconds, and
  // all ranks of its group wait for it in each step.
  GroupMap map(3);
  experts::ExpertLoads loads(3, std::vector<double>(96));
  std::mt19937_64 random(9);
  for (std::size_t s = 0; s < map.size(); ++s) {
    map[s].resize(12);
    for (std::uint32_t e = 0; e < 96; ++e) {
      map[s][e % 12].push_back(e);
      loads[s][e] = 1 + static_cast<double>(random() % 3);
    }
  }
  experts::GroupPlanLimits limits;
  limits.PlacesPerRank = 11;
  limits.MaxNewPerSet = 4;
  limits.RankPace.assign(12, 1);
  limits.RankPace[4] = 5;
  CHECK(experts::groupSkew(map, loads, limits.RankPace) > 4);
  for (int change = 0; change < 3; ++change)
    map = experts::planGroup(map, loads, limits).Map;
  CHECK(experts::groupSkew(map, loads, limits.RankPace) < 1.6);
}

TEST_CASE("small experts are copied several at a time") {
  // Load pattern: popularity jumps every four seconds over 16 sets of experts;
  // one copy a rank takes three changes, each with its orders and steps.
  CHECK(experts::copiesPerChange(400ms) == 1);
  CHECK(experts::copiesPerChange(76ms) == 5);
  CHECK(experts::copiesPerChange(3s) == 1);
  CHECK(experts::copiesPerChange(0ms) == 1);
  std::mt19937_64 random(5);
  GroupMap map(16);
  experts::ExpertLoads loads(16, std::vector<double>(96));
  for (std::size_t s = 0; s < map.size(); ++s) {
    map[s].resize(24);
    for (std::uint32_t e = 0; e < 96; ++e) {
      map[s][e % 24].push_back(e);
      loads[s][e] = 1 / (1.0 + static_cast<double>(random() % 96));
    }
  }
  experts::GroupPlanLimits limits;
  limits.PlacesPerRank = 5;
  limits.MaxNewPerSet = 2;
  const auto single = experts::planGroup(map, loads, limits);
  limits.MaxNewPerRank = experts::copiesPerChange(76ms);
  const auto several = experts::planGroup(map, loads, limits);
  CHECK(several.SkewAfter - 1 < 0.6 * (single.SkewAfter - 1));
}

TEST_CASE("messages between sidecars survive their encoding") {
  experts::RankState state;
  state.Group = "g";
  state.Rank = 3;
  state.GroupSize = 12;
  state.Epoch = 4;
  state.GroupOpen = true;
  state.Step = 77;
  state.MapVersion = 1ULL << 40;
  state.Armed = experts::ArmedSwitch{9, 80};
  state.HeldStep = 80;
  state.Pace = 2.5;
  const auto decoded = decodeState(encodeState(state));
  REQUIRE(decoded);
  CHECK(decoded->MapVersion == 1ULL << 40);
  CHECK(decoded->Armed == state.Armed);
  CHECK(decoded->HeldStep == 80);
  CHECK(decoded->Pace == 2.5);
  RankOrder order{experts::OrderKind::Prepare, 5, 6, 7, {{{0, 2}, {1}}}};
  const auto decodedOrder = decodeOrder(encodeOrder(order));
  REQUIRE(decodedOrder);
  CHECK(decodedOrder->Map == order.Map);
  CHECK(decodedOrder->Epoch == 7);
  CHECK_FALSE(decodeState("\xff"));
  CHECK_FALSE(decodeOrder(""));
  CHECK_FALSE(decodeCounts("{}"));
}

TEST_CASE("a call that times out after its port is gone does no harm") {
  // Guards against a completion on a destroyed port: a slow sidecar makes
  // several calls wait at the same time.
  boost::asio::io_context loop;
  const std::string host = "127.0.0.1";
  boost::asio::ip::tcp::acceptor silent(
      loop,
      boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(host), 0));
  auto branch = std::make_shared<Branch>(loop, silent.local_endpoint().port(),
                                         std::vector<std::string>{host});
  int answers = 0;
  const auto ask = [&] {
    ModelRank::Shared shared;
    PeerRank peer(branch, host, std::make_shared<ModelRank>(loop, shared, 0),
                  0);
    const auto deadline = std::chrono::steady_clock::now() + 50ms;
    for (int i = 0; i < 3; ++i)
      peer.fetchState(deadline, [&](const auto &) { ++answers; });
    loop.run_for(10ms);
  };
  ask();
  loop.run_for(100ms);
  CHECK(answers == 3);
  // The same with a branch that is gone before the deadline.
  ask();
  branch.reset();
  loop.restart();
  loop.run_for(100ms);
  CHECK(answers == 3);
}
