#include "libbergamotrouting/rendezvous.h"
#include "libbergamotrouting/subsetplanner.h"
#include "routinghelpers.h"

#include <algorithm>
#include <set>

using namespace bergamot::routing;
using namespace bergamot::routing::testing;

namespace {

std::vector<VmId> makeEntries(std::size_t count) {
  std::vector<VmId> entries;
  for (std::size_t i = 0; i < count; ++i)
    entries.push_back(VmId{"vm" + std::to_string(i)});
  return entries;
}

std::vector<WeightedTarget> makeTargets(std::size_t count) {
  std::vector<WeightedTarget> targets;
  for (std::size_t i = 0; i < count; ++i)
    targets.push_back({TargetId{"t" + std::to_string(i)}, 1});
  return targets;
}

std::map<TargetId, std::size_t> countByTarget(const SubsetPlan &plan) {
  std::map<TargetId, std::size_t> counts;
  for (const auto &[entry, subset] : plan)
    for (const auto &target : subset)
      ++counts[target];
  return counts;
}

std::size_t movedPairs(const SubsetPlan &before, const SubsetPlan &after) {
  std::size_t moved = 0;
  for (const auto &[entry, subset] : after) {
    const auto it = before.find(entry);
    if (it == before.end())
      continue;
    for (const auto &target : subset)
      moved +=
          !std::binary_search(it->second.begin(), it->second.end(), target);
  }
  return moved;
}

} // namespace

// Guards against targets that are idle or overloaded because few or many
// entries selected them, and against plans that depend on the order of the
// input.
TEST_CASE("subsets are even and independent of order", "[subsets]") {
  forEachSeed([](std::mt19937_64 &random) {
    auto entries = makeEntries(1 + randomBelow(random, 40));
    auto targets = makeTargets(1 + randomBelow(random, 60));
    const SubsetPlanner planner({1 + randomBelow(random, 10), 3});
    const auto plan = planner.plan(entries, targets);
    const auto counts = countByTarget(plan);
    REQUIRE(counts.size() == targets.size());
    std::size_t least = entries.size();
    std::size_t most = 0;
    for (const auto &[target, count] : counts) {
      least = std::min(least, count);
      most = std::max(most, count);
    }
    REQUIRE(most - least <= 2);
    for (const auto &[entry, subset] : plan)
      REQUIRE(std::set<TargetId>(subset.begin(), subset.end()).size() ==
              plan.begin()->second.size());
    std::shuffle(entries.begin(), entries.end(), random);
    std::shuffle(targets.begin(), targets.end(), random);
    REQUIRE(planner.plan(entries, targets) == plan);
  });
}

// Guards against weights that are ignored.
TEST_CASE("a target of twice the weight is in twice the subsets", "[subsets]") {
  auto targets = makeTargets(20);
  targets[0].Weight = 2;
  const auto counts =
      countByTarget(SubsetPlanner({5, 3}).plan(makeEntries(84), targets));
  CHECK(counts.at(targets[0].Id) == 40);
  CHECK(counts.at(targets[1].Id) == 20);
}

// Guards against a plan that reshuffles connections whenever a VM fails.
TEST_CASE("few pairs move when an entry or a target leaves", "[subsets]") {
  auto entries = makeEntries(330);
  auto targets = makeTargets(600);
  const SubsetPlanner planner({20, 3});
  const auto before = planner.plan(entries, targets);
  entries.pop_back();
  const auto withoutEntry = planner.plan(entries, targets);
  targets.pop_back();
  const auto withoutTarget = planner.plan(entries, targets);
  // An entry is in 20 of 6,600 pairs and a target in 11. The bound is 2% of all
  // pairs.
  const auto byEntry = movedPairs(before, withoutEntry);
  const auto byTarget = movedPairs(withoutEntry, withoutTarget);
  INFO("moved by entry " << byEntry << ", by target " << byTarget);
  CHECK(byEntry <= 132);
  CHECK(byTarget <= 132);
}

// Guards against an owner that depends on the order of the membership list.
TEST_CASE("few accounts change owner when an entry leaves", "[subsets]") {
  auto entries = makeEntries(10);
  std::size_t moved = 0;
  auto fewer = entries;
  fewer.erase(fewer.begin() + 3);
  std::reverse(fewer.begin(), fewer.end());
  for (int i = 0; i < 1000; ++i) {
    const auto key = "account" + std::to_string(i);
    const auto owner = rendezvousOwner(key, entries);
    const auto next = rendezvousOwner(key, fewer);
    if (owner == entries[3])
      ++moved;
    else
      CHECK(owner == next);
  }
  CHECK(moved > 60);
  CHECK(moved < 140);
}
