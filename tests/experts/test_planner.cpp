#include "libbergamotbase/error.h"
#include "libbergamotexperts/initialplacement.h"
#include "libbergamotexperts/placementplanner.h"
#include "libbergamotexperts/splitstate.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <random>
#include <set>

using namespace bergamot::experts;
using bergamot::base::Error;
using bergamot::base::TimePoint;
using std::chrono::seconds;

namespace {

/// Returns ranks of equal speed, two per host, spread over `domains` failure
/// domains.
std::vector<RankInfo> makeRanks(std::uint32_t count, std::uint32_t domains) {
  std::vector<RankInfo> ranks;
  for (std::uint32_t r = 0; r < count; ++r)
    ranks.push_back({1e6, r / 2, r * domains / count});
  return ranks;
}

PopularityEstimate makeEstimate(std::vector<double> tokens) {
  PopularityEstimate estimate;
  estimate.TokensPerStep = std::move(tokens);
  estimate.Lifetime = seconds(300);
  estimate.Coverage = 1;
  return estimate;
}

PlannerSettings costFreeSettings() {
  PlannerSettings settings;
  settings.TransferSlowdown = 0;
  settings.SecondsPerByte = 0;
  settings.MinGainCostRatio = 1;
  settings.TargetSkew = 1;
  settings.MinResidence = seconds(0);
  settings.StagingSlots = 8;
  settings.Search.MinReplicas = 1;
  return settings;
}

std::vector<double> zipf(std::uint32_t experts, std::mt19937_64 &random) {
  std::vector<double> tokens;
  for (std::uint32_t e = 0; e < experts; ++e)
    tokens.push_back(1e6 / std::pow(e + 1.0, 0.9));
  std::ranges::shuffle(tokens, random);
  return tokens;
}

/// Returns the time of the best token split for a placement by Hall's theorem:
/// the largest ratio of the tokens of a set of experts to the speed of all
/// ranks that hold one of them. Shares no code with the code under test.
double bestSplitTime(const std::vector<unsigned> &holdings,
                     const std::vector<double> &tokens,
                     const std::vector<RankInfo> &ranks) {
  double worst = 0;
  for (unsigned set = 1; set < (1U << tokens.size()); ++set) {
    double sum = 0;
    double speed = 0;
    for (std::size_t e = 0; e < tokens.size(); ++e)
      sum += (set >> e) & 1 ? tokens[e] : 0;
    for (std::size_t r = 0; r < ranks.size(); ++r)
      speed += (holdings[r] & set) != 0 ? ranks[r].Speed : 0;
    worst = std::max(worst, speed > 0 ? sum / speed : 1e9);
  }
  return worst;
}

double bestPlacementTime(std::size_t rank, int slots,
                         std::vector<unsigned> &holdings,
                         const std::vector<double> &tokens,
                         const std::vector<RankInfo> &ranks) {
  if (rank == ranks.size())
    return bestSplitTime(holdings, tokens, ranks);
  double best = 1e9;
  for (unsigned set = 0; set < (1U << tokens.size()); ++set) {
    if (std::popcount(set) != slots)
      continue;
    holdings[rank] = set;
    best = std::min(
        best, bestPlacementTime(rank + 1, slots, holdings, tokens, ranks));
  }
  return best;
}

/// Plans until nothing changes and returns the predicted time per step.
double plannedTime(ExpertMap map, const std::vector<double> &tokens,
                   const std::vector<RankInfo> &ranks) {
  PlacementPlanner planner(costFreeSettings());
  const auto estimate = makeEstimate(tokens);
  for (int round = 0; round < 20; ++round) {
    const Plan plan =
        planner.plan({TimePoint(seconds(round)), &map, &estimate, ranks,
                      std::numeric_limits<std::uint64_t>::max()});
    if (plan.Record.Kind == PlanKind::Wait)
      break;
    REQUIRE(plan.Map.errors().empty());
    map = plan.Map;
  }
  return SplitState(map, ranks, tokens).maxTime();
}

struct SmallSize {
  std::uint32_t Ranks;
  std::uint32_t Slots;
  std::uint32_t Experts;
};

} // namespace

// Guards against a search that stops in a poor local optimum: plans are within
// 3% of exhaustive search, with equal and with different speeds.
TEST_CASE("plans are close to exhaustive search at small sizes", "[planner]") {
  double worst = 1;
  for (const auto [count, slots, experts] :
       {SmallSize{2, 3, 4}, SmallSize{3, 2, 4}, SmallSize{3, 3, 6},
        SmallSize{4, 2, 5}, SmallSize{4, 2, 6}})
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      std::mt19937_64 random(seed);
      auto ranks = makeRanks(count, 1);
      for (auto &rank : ranks) {
        rank.Host = 0;
        if (seed % 2 == 0)
          rank.Speed *= 0.6 + 0.1 * static_cast<double>(random() % 5);
      }
      const auto tokens = zipf(experts, random);
      std::vector<unsigned> holdings(count);
      const double best = bestPlacementTime(0, static_cast<int>(slots),
                                            holdings, tokens, ranks);
      // The initial map is built for a different popularity, so that moves are
      // needed.
      const auto start = initialMap(ranks, slots, zipf(experts, random), 1);
      const double planned = plannedTime(start, tokens, ranks);
      INFO("ranks " << count << " slots " << slots << " experts " << experts
                    << " seed " << seed);
      CHECK(planned <= best * 1.03);
      CHECK(planned >= best * 0.999);
      worst = std::max(worst, planned / best);
    }
  WARN("worst ratio to exhaustive search: " << worst);
}

// Guards against a token split that isn't optimal for its placement.
TEST_CASE("the balanced split reaches Hall's bound", "[planner]") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    auto ranks = makeRanks(5, 2);
    ranks[seed % 5].Speed *= 0.5;
    const auto tokens = zipf(7, random);
    const auto map = initialMap(ranks, 3, zipf(7, random), 1);
    std::vector<unsigned> holdings(5, 0);
    for (std::uint32_t r = 0; r < 5; ++r)
      for (const Slot &slot : map.slots(r))
        if (slot.Expert != NoExpert)
          holdings[r] |= 1U << slot.Expert;
    SplitState state(map, ranks, tokens);
    state.balanceAll(1000, 1e-9);
    CHECK(state.maxTime() ==
          Approx(bestSplitTime(holdings, tokens, ranks)).epsilon(1e-4));
  }
}

// Guards against moves that cost more than they gain, and against moves back
// and forth.
TEST_CASE("the planner gives a reason for waiting", "[planner]") {
  std::mt19937_64 random(3);
  const auto ranks = makeRanks(8, 2);
  const auto start = initialMap(ranks, 3, zipf(16, random), 1);
  auto estimate = makeEstimate(zipf(16, random));
  PlanRequest request{TimePoint(seconds(10)), &start, &estimate, ranks,
                      1ULL << 40};
  PlannerSettings settings;
  settings.Search.MinReplicas = 1;

  CHECK(PlacementPlanner(settings).plan(request).Record.Kind ==
        PlanKind::MoveReplicas);

  settings.SecondsPerByte = 1;
  auto plan = PlacementPlanner(settings).plan(request);
  CHECK(plan.Record.Kind == PlanKind::AdjustShares);
  CHECK(plan.Record.Reason == WaitReason::GainBelowCost);
  CHECK(plan.Record.GainSeconds < 2 * plan.Record.CostSeconds);
  CHECK(transfersBetween(start, plan.Map).empty());

  settings.SecondsPerByte = 0;
  request.BudgetBytes = 1000;
  plan = PlacementPlanner(settings).plan(request);
  CHECK(plan.Record.Reason == WaitReason::TransferBudget);
  CHECK(plan.Transfers.empty());

  request.ActivationPending = true;
  plan = PlacementPlanner(settings).plan(request);
  CHECK(plan.Record.Reason == WaitReason::ActivationPending);

  request.ActivationPending = false;
  request.Now = TimePoint(seconds(1000));
  plan = PlacementPlanner(settings).plan(request);
  CHECK(plan.Record.Reason == WaitReason::StaleEstimate);
  estimate.Coverage = 0;
  plan = PlacementPlanner(settings).plan(request);
  CHECK(plan.Record.Reason == WaitReason::NoEstimate);
}

// Guards against more transfers than the weight store can deliver or the ranks
// can stage.
TEST_CASE("plans respect the budget and the staging slots", "[planner]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    const auto ranks = makeRanks(16, 4);
    const auto start = initialMap(ranks, 4, zipf(24, random), 2);
    const auto estimate = makeEstimate(zipf(24, random));
    PlannerSettings settings;
    PlacementPlanner planner(settings);
    const Plan plan = planner.plan({TimePoint(seconds(40)), &start, &estimate,
                                    ranks, settings.BytesPerExpert * 5 + 1});
    REQUIRE(plan.Record.Kind == PlanKind::MoveReplicas);
    CHECK(plan.Map.errors().empty());
    CHECK(plan.Transfers.size() <= 5);
    std::set<std::uint32_t> receivers;
    for (const auto &transfer : plan.Transfers)
      CHECK(receivers.insert(transfer.Rank).second);
    CHECK(plan.Record.SkewPlanned < plan.Record.SkewAdjusted);
    CHECK(plan.Record.GainSeconds > 2 * plan.Record.CostSeconds);
    // Replicas that spanned two failure domains still do.
    for (std::uint32_t e = 0; e < 24; ++e) {
      const auto replicas = plan.Map.replicaRanks(e);
      std::set<std::uint32_t> domains;
      for (const auto r : replicas)
        domains.insert(ranks[r].Domain);
      CHECK(domains.size() >= 2);
    }
    // A second plan for the same popularity doesn't undo the moves at once.
    const Plan again =
        planner.plan({TimePoint(seconds(50)), &plan.Map, &estimate, ranks,
                      settings.BytesPerExpert * 5});
    for (const auto &transfer : plan.Transfers)
      if (again.Record.Kind != PlanKind::Wait)
        CHECK(again.Map.holds(transfer.Rank, transfer.Expert));
  }
}

// Guards against tokens sent to a stalled rank, and against a map with experts
// that no live rank holds.
TEST_CASE("slow ranks get fewer tokens and stalled ranks none", "[planner]") {
  std::mt19937_64 random(5);
  auto ranks = makeRanks(8, 2);
  const auto tokens = zipf(12, random);
  const auto start = initialMap(ranks, 4, tokens, 2);
  const auto estimate = makeEstimate(tokens);
  ranks[2].Speed = 0;
  ranks[5].Speed *= 0.5;
  const PlanRequest request{TimePoint(seconds(1)), &start, &estimate, ranks, 0};
  const Plan plan = PlacementPlanner({}).plan(request);
  REQUIRE(plan.Record.Kind == PlanKind::AdjustShares);
  CHECK(std::isinf(plan.Record.SkewNow));
  for (const Slot &slot : plan.Map.slots(2))
    CHECK(slot.Share == 0);
  CHECK(plan.Record.SkewPlanned < 1.2);

  for (auto &rank : ranks)
    rank.Speed = rank.Domain == 0 ? 1e6 : 0;
  auto narrow = initialMap(ranks, 4, tokens, 1);
  for (auto &rank : ranks)
    rank.Speed = rank.Domain == 1 ? 1e6 : 0;
  const Plan lost = PlacementPlanner({}).plan(
      {TimePoint(seconds(1)), &narrow, &estimate, ranks, 0});
  CHECK(lost.Record.Kind == PlanKind::Wait);
  CHECK(lost.Record.Reason == WaitReason::ExpertLost);
  for (auto &rank : ranks)
    rank.Speed = 0;
  CHECK_THROWS_AS(initialMap(ranks, 4, tokens, 1), Error);
}
