#include "fakelog.h"
#include "libbergamotstate/snapshotpolicy.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <set>

using namespace bergamot;
using namespace bergamot::state;

// Guards against expiry of the last snapshot when daemons fail, against many
// daemons appending at once, and against one daemon doing all the work.
TEST_CASE("usually one daemon appends a new snapshot", "[snapshot]") {
  constexpr std::size_t Count = 330;
  const SnapshotSettings settings;
  std::vector<base::VmId> ids;
  std::vector<SnapshotPolicy> policies;
  for (std::size_t i = 0; i < Count; ++i) {
    ids.push_back({"vm-" + std::to_string(i)});
    policies.emplace_back(ids.back(), settings);
  }
  std::set<std::size_t> writers;
  SeededRandom random(1);
  std::uint64_t appends = 0;
  auto stored = wallAt(0);
  for (std::uint64_t round = 1; round <= 50; ++round) {
    const bool overdue = round % 5 == 0;
    // One in ten daemons fails to append; every fifth snapshot is seen overdue.
    const auto seen = stored + settings.Retention * (overdue ? 80 : 0) / 100;
    for (auto &it : policies)
      it.setSnapshot({round}, stored, seen);
    std::multimap<base::WallTime, std::size_t> dueTimes;
    for (std::size_t i = 0; i < Count; ++i)
      dueTimes.emplace(*policies[i].dueAt(ids), i);
    // The other daemons see an append within 5 s.
    std::optional<base::WallTime> firstAppend;
    for (const auto &[now, i] : dueTimes) {
      REQUIRE(now < stored + settings.Retention);
      if (firstAppend && now > *firstAppend + std::chrono::seconds(5))
        break;
      if (random.chance(10))
        continue;
      CHECK(policies[i].takeDue(ids, now));
      CHECK_FALSE(policies[i].takeDue(ids, now));
      ++appends;
      writers.insert(i);
      firstAppend = firstAppend.value_or(now);
    }
    REQUIRE(firstAppend);
    stored = *firstAppend;
  }
  WARN("seed 1: " << appends << " appends for 50 snapshots");
  CHECK(appends <= 60);
  CHECK(writers.size() > 30);
}

// Guards against a lost append that no daemon retries.
TEST_CASE("the next daemon appends after a lost append", "[snapshot]") {
  const std::vector<base::VmId> ids{{"a"}, {"b"}};
  SnapshotPolicy a({"a"});
  SnapshotPolicy b({"b"});
  CHECK_FALSE(a.dueAt(ids));
  a.setSnapshot({1}, wallAt(0), wallAt(0));
  b.setSnapshot({1}, wallAt(0), wallAt(0));
  const auto first = std::min(a.dueAt(ids), b.dueAt(ids)).value();
  const auto second = std::max(a.dueAt(ids), b.dueAt(ids)).value();
  CHECK(second - first == SnapshotSettings().PositionDelay);
  CHECK((a.takeDue(ids, first) != b.takeDue(ids, first)));
  CHECK((a.takeDue(ids, second) != b.takeDue(ids, second)));
  const auto retryAt = first + 3 * SnapshotSettings().PositionDelay;
  CHECK((a.takeDue(ids, retryAt) || b.takeDue(ids, retryAt)));
}
