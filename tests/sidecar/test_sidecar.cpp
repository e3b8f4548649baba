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

/// The engines' initial map (version 0): one set, experts assigned to the ranks
/// in turn.
GroupMap initialMap() {
  GroupMap map(1);
  for (std::uint32_t r = 0; r < Ranks; ++r) {
    map[0].emplace_back();
    for (std::uint32_t e = r; e < Experts; e += Ranks)
      map[0][r].push_back(e);
  }
  return map;
}

/// A rank of a GroupModel whose selection counts follow `Popularity`.
class ModelRank final : public MemberClient {
public:
  struct Shared {
    GroupModel Group{Ranks};
    std::map<std::uint64_t, GroupMap> Maps{{0, initialMap()}};
    std::vector<double> Popularity = std::vector<double>(Experts, 1000);
    bool LosesOrderResponses = false;
    /// Rank 0 responds to no calls, as if its VM had stalled.
    bool FirstRankUnresponsive = false;
    /// If false, copies don't complete until a rank accepts an order.
    bool CompletesCopies = true;
    /// How long a copy takes.
    std::chrono::milliseconds CopyTime{0};
    std::vector<base::TimePoint> CopiesUntil =
        std::vector<base::TimePoint>(Ranks);
    std::mt19937_64 Random{3};
  };

  ModelRank(boost::asio::io_context &loop, Shared &shared, std::uint32_t rank)
      : Loop(loop), Model(shared), Index(rank) {}

  void fetchState(base::TimePoint, StateCompletion done) override {
    if (Model.CompletesCopies &&
        std::chrono::steady_clock::now() >= Model.CopiesUntil[Index])
      Model.Group.finishCopy(Index);
    if (isUnresponsive())
      return post([done] { done(std::nullopt); });
    post([state = Model.Group.state(Index), done] { done(state); });
  }
  void fetchCounts(base::TimePoint, CountsCompletion done) override {
    if (isUnresponsive())
      return post([done] { done(std::nullopt); });
    // Only rank 0 reports counts, so that their sum equals the popularity.
    CountDeltas counts(Experts, 0);
    for (std::uint32_t e = 0; Index == 0 && e < Experts; ++e)
      counts[e] = static_cast<std::uint32_t>(Model.Popularity[e]);
    post([counts, done] { done(counts); });
  }
  void awaitCopies(std::uint64_t, base::TimePoint deadline,
                   StateCompletion done) override {
    fetchState(deadline, std::move(done));
  }
  void fetchExpertIds(base::TimePoint, ExpertIdsCompletion done) override {
    if (isUnresponsive())
      return post([done] { done(std::nullopt); });
    const std::uint64_t version = Model.Group.state(Index).MapVersion;
    RankExpertIds expertIds{1, version, {Model.Maps[version][0][Index]}};
    post([expertIds, done] { done(expertIds); });
  }
  void sendOrder(const RankOrder &order, base::TimePoint,
                 OrderCompletion done) override {
    if (isUnresponsive())
      return post([done] { done(OrderResult::Unknown); });
    if (order.Kind == experts::OrderKind::Prepare)
      Model.Maps[order.Version] = order.Map;
    const bool responseLost =
        Model.LosesOrderResponses && Model.Random() % 3 == 0;
    const bool accepted = Model.Group.execute(Index, order);
    if (accepted && order.Kind == experts::OrderKind::Prepare)
      Model.CopiesUntil[Index] =
          std::chrono::steady_clock::now() + Model.CopyTime;
    Model.CompletesCopies = Model.CompletesCopies || accepted;
    post([=] {
      done(responseLost ? OrderResult::Unknown
           : accepted   ? OrderResult::Accepted
                        : OrderResult::Conflict);
    });
  }

private:
  bool isUnresponsive() const {
    return Index == 0 && Model.FirstRankUnresponsive;
  }
  template <typename Task> void post(Task task) {
    boost::asio::post(Loop, std::move(task));
  }

  boost::asio::io_context &Loop;
  Shared &Model;
  std::uint32_t Index;
};

CoordinatorSettings quickSettings() {
  CoordinatorSettings settings;
  settings.Sets = 1;
  settings.ExpertsPerSet = Experts;
  settings.Limits.SlotsPerRank = 6;
  settings.Limits.MaxNewPerSet = 2;
  settings.PollPeriod = 10ms;
  settings.PollTimeout = 8ms;
  settings.AdvancePeriod = 3ms;
  settings.MinEstimateSelections = 100;
  return settings;
}

struct CoordinatedGroup {
  explicit CoordinatedGroup(ModelRank::Shared &shared) : Model(shared) {
    start();
  }
  void start() {
    std::vector<std::shared_ptr<MemberClient>> clients;
    for (std::uint32_t r = 0; r < Ranks; ++r)
      clients.push_back(std::make_shared<ModelRank>(Loop, Model, r));
    Active = std::make_unique<Coordinator>(Loop, quickSettings(), clients);
    Active->start();
  }
  /// Starts another coordinator for the same group.
  void addSecondCoordinator() {
    auto first = std::move(Active);
    start();
    Previous = std::move(first);
  }
  void run(std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      Loop.run_one_for(2ms);
      if (++LoopIterations % 8 == 0)
        Model.Group.beginStep();
    }
  }
  /// Runs until the condition holds; returns false after three seconds.
  template <typename Condition> bool runUntil(Condition condition) {
    for (int i = 0; i < 300 && !condition(); ++i)
      run(10ms);
    return condition();
  }
  double skew() const {
    const auto version = Model.Group.state(0).MapVersion;
    return experts::groupSkew(Model.Maps[version], {Model.Popularity});
  }

  boost::asio::io_context Loop;
  ModelRank::Shared &Model;
  std::unique_ptr<Coordinator> Active;
  std::unique_ptr<Coordinator> Previous;
  unsigned LoopIterations = 0;
};

} // namespace

TEST_CASE("a coordinator rebalances its group after a popularity jump") {
  // After the jump, one expert gets a third of all tokens.
  ModelRank::Shared shared;
  CoordinatedGroup group(shared);
  group.run(200ms);
  CHECK(shared.Group.state(0).MapVersion == 0);
  shared.Popularity[5] = 8000;
  CHECK(group.skew() > 1.8);
  group.run(900ms);
  CHECK(shared.Group.state(0).MapVersion != 0);
  CHECK(group.skew() < 1.35);
  CHECK(shared.Group.violation().empty());
}

TEST_CASE("lost responses to orders delay a change but don't stop it") {
  ModelRank::Shared shared;
  shared.LosesOrderResponses = true;
  CoordinatedGroup group(shared);
  group.run(100ms);
  shared.Popularity[5] = 8000;
  group.run(2000ms);
  CHECK(group.skew() < 1.4);
  CHECK(shared.Group.violation().empty());
}

TEST_CASE("a new coordinator releases a step held by its predecessor") {
  // Guards against a group that stays held because its coordinator is gone, and
  // against timers and calls that use a destroyed coordinator.
  for (int round = 0; round < 40; ++round) {
    ModelRank::Shared shared;
    CoordinatedGroup group(shared);
    group.run(60ms);
    shared.Popularity[static_cast<std::size_t>(round) % Experts] = 9000;
    group.run(std::chrono::milliseconds(20 + 2 * round));
    group.start(); // Destroys the old coordinator with calls in progress.
    group.run(400ms);
    CAPTURE(round);
    REQUIRE(shared.Group.violation().empty());
    const auto before = shared.Group.step();
    group.run(60ms);
    REQUIRE(shared.Group.step() > before);
  }
}

TEST_CASE("a coordinator releases a held step while rank 0 is unresponsive") {
  // Guards against a group that is held for as long as the VM of its
  // coordinator is stalled.
  ModelRank::Shared shared;
  shared.FirstRankUnresponsive = true;
  const std::uint64_t heldStep = shared.Group.step() + 1;
  REQUIRE(
      shared.Group.execute(1, {experts::OrderKind::Hold, 0, heldStep, 1, {}}));
  CoordinatedGroup group(shared);
  CHECK(group.runUntil([&] { return shared.Group.step() > heldStep; }));
  CHECK(shared.Group.violation().empty());
}

TEST_CASE("copies for a previous coordinator don't block the next one") {
  // Guards against a group that stays imbalanced for seconds after a power
  // loss: a version that is being copied isn't reported, and lower ones are
  // refused.
  ModelRank::Shared shared;
  shared.CompletesCopies = false;
  constexpr std::uint64_t PreviousVersion = (std::uint64_t(2) << 28) - 256;
  for (std::uint32_t r = 0; r < Ranks; ++r)
    REQUIRE(shared.Group.execute(
        r, {experts::OrderKind::Prepare, PreviousVersion, 0, 1, initialMap()}));
  CoordinatedGroup group(shared);
  group.run(60ms);
  shared.Popularity[5] = 9000;
  // Less than the four seconds after which a change whose copies aren't
  // complete is abandoned.
  CHECK(group.runUntil([&] { return group.skew() < 1.5; }));
  CHECK(shared.Group.violation().empty());
}

TEST_CASE("two coordinators can act on the same group", "[coordinators]") {
  for (int round = 0; round < 5; ++round) {
    ModelRank::Shared shared;
    CoordinatedGroup group(shared);
    group.addSecondCoordinator();
    group.run(60ms);
    shared.Popularity[static_cast<std::size_t>(round) % Experts] = 9000;
    CAPTURE(round);
    CHECK(group.runUntil([&] { return group.skew() < 1.5; }));
    CHECK(shared.Group.violation().empty());
  }
}

TEST_CASE("two coordinators don't replace each other's changes forever",
          "[coordinators]") {
  // Each of them plans again as soon as its change has been replaced, and a
  // copy takes longer than that.
  for (int round = 0; round < 4; ++round) {
    ModelRank::Shared shared;
    shared.CopyTime = 120ms;
    CoordinatedGroup group(shared);
    group.addSecondCoordinator();
    group.run(60ms);
    shared.Popularity[static_cast<std::size_t>(round) % Experts] = 9000;
    CAPTURE(round);
    CHECK(group.runUntil([&] { return group.skew() < 1.5; }));
    CHECK(shared.Group.violation().empty());
  }
}

TEST_CASE("the sidecar of a rank that holds a step for too long takes over") {
  CoordinatorElection election(at(0ms));
  election.setGroupOpen(true, at(0ms));
  election.recordCall(0, 1, at(100ms));
  election.setHeldStep(7, at(200ms));
  CHECK_FALSE(election.isCoordinator(1, at(400ms)));
  election.setHeldStep(8, at(450ms));
  CHECK_FALSE(election.isCoordinator(1, at(600ms)));
  election.setHeldStep(8, at(750ms));
  CHECK(election.isCoordinator(1, at(750ms)));
}

TEST_CASE("the sidecar of the lowest running rank is the coordinator") {
  CoordinatorElection first(at(0ms));
  CoordinatorElection second(at(0ms));
  first.setGroupOpen(true, at(0ms));
  second.setGroupOpen(true, at(0ms));
  CHECK_FALSE(first.isCoordinator(0, at(900ms)));
  CHECK(first.isCoordinator(0, at(1000ms)));
  CHECK_FALSE(second.isCoordinator(1, at(1000ms)));
  second.recordCall(0, 1, at(1100ms));
  CHECK_FALSE(second.isCoordinator(1, at(2300ms)));
  CHECK(second.isCoordinator(1, at(2350ms)));
  // Rank 0 is back: rank 1 stops coordinating when rank 0 calls it, not the
  // reverse.
  first.recordCall(1, 0, at(2400ms));
  CHECK(first.isCoordinator(0, at(2400ms)));
  second.recordCall(0, 1, at(2400ms));
  CHECK_FALSE(second.isCoordinator(1, at(2400ms)));
}

TEST_CASE("a sidecar is no longer coordinator after a pause") {
  // Guards against two coordinators after a VM was paused: by then, the other
  // ranks have elected another one.
  CoordinatorElection election(at(0ms));
  election.setGroupOpen(true, at(0ms));
  REQUIRE(election.isCoordinator(0, at(1000ms)));
  election.resetAfterPause(at(5000ms));
  CHECK_FALSE(election.isCoordinator(0, at(5000ms)));
  election.recordCall(1, 0, at(5100ms));
  CHECK_FALSE(election.isCoordinator(0, at(6000ms)));
  CHECK(election.isCoordinator(0, at(6100ms)));
}

TEST_CASE("rank 0 coordinates a newly opened group while the others wait") {
  // All sidecars start at the same time and wait for their groups to open, for
  // longer than the takeover timeout of any of them.
  std::vector<CoordinatorElection> elections(64, CoordinatorElection(at(0ms)));
  for (std::uint32_t r = 0; r < elections.size(); ++r) {
    CHECK_FALSE(elections[r].isCoordinator(r, at(8000ms)));
    elections[r].setGroupOpen(true, at(9000ms));
    CHECK(elections[r].isCoordinator(r, at(9000ms)) == (r == 0));
    CHECK(elections[r].isCoordinator(r, at(10000ms)) == (r == 0));
    // Rank 0 has failed: rank 1 takes over.
    CHECK(elections[r].isCoordinator(r, at(10250ms)) == (r <= 1));
  }
  // The group closes and opens again: its coordinator stays, and no other one
  // takes over.
  for (auto &it : elections)
    it.setGroupOpen(false, at(11000ms));
  CHECK(elections[1].isCoordinator(1, at(13000ms)));
  for (auto &it : elections)
    it.setGroupOpen(true, at(13000ms));
  elections[2].recordCall(1, 2, at(13100ms));
  CHECK_FALSE(elections[2].isCoordinator(2, at(13200ms)));
}

TEST_CASE("the load estimate averages counts and restarts after a jump") {
  LoadEstimator estimator(1, 4, 0.5);
  const GroupMap map = {{{0}, {1}, {2}, {3}}};
  const auto add = [&](const CountDeltas &deltas) {
    estimator.addCounts(deltas);
    return estimator.mergePending(map);
  };
  CHECK_FALSE(add({10000, 10000, 10000, 10000}));
  CHECK_FALSE(add({11000, 9000, 10000, 10000}));
  CHECK(estimator.loads()[0][0] == Approx(16000));
  CHECK(add({40000, 1000, 1000, 1000}));
  CHECK(estimator.loads()[0][0] == Approx(40000));
  // Empty counts, as of a rank on its first call.
  estimator.addCounts({});
  CHECK_FALSE(estimator.mergePending(map));
  CHECK(estimator.loads()[0][0] == Approx(40000));
}

TEST_CASE("an estimate starts from the popularity of a previous coordinator") {
  // After a power loss, the first requests of a group that has opened again
  // select few experts, which is no popularity jump.
  const GroupMap map = {{{0}, {1}, {2}, {3}}};
  LoadEstimator estimator(1, 4, 0.7);
  estimator.setInitial({{500000, 500000, 500000, 500000}});
  CHECK(estimator.selections() == Approx(2000000));
  estimator.addCounts({60000, 0, 0, 0});
  CHECK_FALSE(estimator.mergePending(map));
  CHECK(experts::groupSkew(map, estimator.loads()) < 1.2);
  // A real jump is detected once there are as many counts as usual.
  estimator.addCounts({700000, 10000, 10000, 10000});
  CHECK(estimator.mergePending(map));
  CHECK(estimator.loads()[0][0] == Approx(760000));
}

TEST_CASE("a jump spread over small counts isn't masked by the average") {
  // Guards against counts that are too small to detect a jump but change the
  // estimate, so that the rest of the jump doesn't deviate from it.
  const GroupMap map = {{{0}, {1}, {2}, {3}}};
  LoadEstimator estimator(1, 4, 0.7);
  estimator.setInitial({{2000000, 2000000, 2000000, 2000000}});
  bool jumped = false;
  for (int i = 0; i < 3 && !jumped; ++i) {
    estimator.addCounts({300000, 5000, 5000, 5000});
    jumped = estimator.mergePending(map);
  }
  CHECK(jumped);
  CHECK(experts::groupSkew(map, estimator.loads()) > 3);
}

TEST_CASE("popularity records round-trip and corrupt ones are rejected") {
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
    std::string corrupt = record;
    corrupt[i] = static_cast<char>(corrupt[i] ^ 0x41);
    CHECK_FALSE(decodePopularity(corrupt, 2, 4));
    CHECK_FALSE(decodePopularity(record.substr(0, i), 2, 4));
  }
  // 128 sets of 128 experts must stay far below the record limit of 256 KiB.
  const experts::ExpertLoads large(128, std::vector<double>(128, 7));
  CHECK(encodePopularity(large).size() < 20000);
}

TEST_CASE("a new coordinator plans from recorded popularity without counts") {
  // All VMs lose power: the group opens with map 0, and the only known
  // popularity is the one that the last coordinator has recorded.
  ModelRank::Shared shared;
  shared.Popularity = std::vector<double>(Experts, 0);
  CoordinatedGroup group(shared);
  experts::ExpertLoads previousLoads(1, std::vector<double>(Experts, 1000));
  previousLoads[0][5] = 8000;
  group.Active->setInitialLoads(previousLoads);
  experts::ExpertLoads recorded;
  group.Active->setChangeAppliedHandler(
      [&](const auto &loads) { recorded = loads; });
  REQUIRE(
      group.runUntil([&] { return shared.Group.state(0).MapVersion != 0; }));
  const auto version = shared.Group.state(0).MapVersion;
  CHECK(experts::groupSkew(shared.Maps[version], previousLoads) <
        0.8 * experts::groupSkew(initialMap(), previousLoads));
  REQUIRE(group.runUntil([&] { return !recorded.empty(); }));
  CHECK(recorded[0][5] > recorded[0][4]);
}

TEST_CASE("plans are valid and never worse than the current map") {
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
    limits.SlotsPerRank = 11;
    limits.MaxNewPerSet = 4;
    limits.MaxNewPerRank = 1 + random() % 3;
    const auto plan = experts::planGroup(map, loads, limits);
    REQUIRE(plan.SkewAfter <= plan.SkewBefore + 1e-9);
    REQUIRE(plan.SkewAfter == Approx(experts::groupSkew(plan.Map, loads)));
    REQUIRE(plan.MaxCopiesPerRank <= limits.MaxNewPerRank);
    for (std::uint32_t s = 0; s < sets; ++s) {
      std::vector<int> holders(count, 0);
      for (std::uint32_t r = 0; r < ranks; ++r) {
        const auto &rankExperts = plan.Map[s][r];
        REQUIRE(rankExperts.size() <= limits.SlotsPerRank);
        REQUIRE(std::set<std::uint32_t>(rankExperts.begin(), rankExperts.end())
                    .size() == rankExperts.size());
        for (const std::uint32_t e : rankExperts)
          ++holders[e];
      }
      REQUIRE(*std::min_element(holders.begin(), holders.end()) >= 1);
    }
  }
}

TEST_CASE("planning moves the tokens of a slow rank to the other ranks") {
  // One rank takes five times as long for several seconds, and all ranks of its
  // group wait for it in each step.
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
  limits.SlotsPerRank = 11;
  limits.MaxNewPerSet = 4;
  limits.RankSlowdowns.assign(12, 1);
  limits.RankSlowdowns[4] = 5;
  CHECK(experts::groupSkew(map, loads, limits.RankSlowdowns) > 4);
  for (int change = 0; change < 3; ++change)
    map = experts::planGroup(map, loads, limits).Map;
  CHECK(experts::groupSkew(map, loads, limits.RankSlowdowns) < 1.6);
}

TEST_CASE("a change copies several small experts per rank") {
  // Popularity jumps every four seconds over 16 sets of experts. With one copy
  // per rank, rebalancing takes three changes, each with its own orders and
  // steps.
  CHECK(experts::maxCopiesPerChange(400ms) == 1);
  CHECK(experts::maxCopiesPerChange(76ms) == 5);
  CHECK(experts::maxCopiesPerChange(3s) == 1);
  CHECK(experts::maxCopiesPerChange(0ms) == 1);
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
  limits.SlotsPerRank = 5;
  limits.MaxNewPerSet = 2;
  const auto single = experts::planGroup(map, loads, limits);
  limits.MaxNewPerRank = experts::maxCopiesPerChange(76ms);
  const auto several = experts::planGroup(map, loads, limits);
  CHECK(several.SkewAfter - 1 < 0.6 * (single.SkewAfter - 1));
}

TEST_CASE("messages between sidecars survive an encoding round trip") {
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
  state.Slowdown = 2.5;
  const auto decoded = decodeState(encodeState(state));
  REQUIRE(decoded);
  CHECK(decoded->MapVersion == 1ULL << 40);
  CHECK(decoded->Armed == state.Armed);
  CHECK(decoded->HeldStep == 80);
  CHECK(decoded->Slowdown == 2.5);
  RankOrder order{experts::OrderKind::Prepare, 5, 6, 7, {{{0, 2}, {1}}}};
  const auto decodedOrder = decodeOrder(encodeOrder(order));
  REQUIRE(decodedOrder);
  CHECK(decodedOrder->Map == order.Map);
  CHECK(decodedOrder->Epoch == 7);
  CHECK_FALSE(decodeState("\xff"));
  CHECK_FALSE(decodeOrder(""));
  CHECK_FALSE(decodeCounts("{}"));
}

TEST_CASE("a call may time out after its client is destroyed") {
  // Guards against a completion that uses a destroyed client: several calls
  // wait for a slow sidecar at the same time.
  boost::asio::io_context loop;
  const std::string host = "127.0.0.1";
  boost::asio::ip::tcp::acceptor unresponsive(
      loop,
      boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(host), 0));
  auto subtree = std::make_shared<FanoutSubtree>(
      loop, unresponsive.local_endpoint().port(),
      std::vector<std::string>{host});
  int completions = 0;
  const auto issueCalls = [&] {
    ModelRank::Shared shared;
    PeerRankClient client(subtree, host,
                          std::make_shared<ModelRank>(loop, shared, 0), 0);
    const auto deadline = std::chrono::steady_clock::now() + 50ms;
    for (int i = 0; i < 3; ++i)
      client.fetchState(deadline, [&](const auto &) { ++completions; });
    loop.run_for(10ms);
  };
  issueCalls();
  loop.run_for(100ms);
  CHECK(completions == 3);
  // The same with a subtree that is destroyed before the deadline.
  issueCalls();
  subtree.reset();
  loop.restart();
  loop.run_for(100ms);
  CHECK(completions == 3);
}
