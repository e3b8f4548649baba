#include "libbergamotbase/error.h"
#include "libbergamotexperts/expertmap.h"
#include "libbergamotexperts/popularityestimator.h"

#include <catch2/catch.hpp>

using namespace bergamot::experts;
using bergamot::base::Error;
using bergamot::base::TimePoint;
using std::chrono::seconds;

namespace {

ExpertMap smallMap() {
  ExpertMap map(3, 2, 2);
  map.setSlot(0, {0, 40000});
  map.setSlot(1, {1, ShareScale});
  map.setSlot(2, {0, ShareScale - 40000});
  map.setSlot(3, {2, ShareScale});
  return map;
}

MapErrorKind onlyErrorKind(const ExpertMap &map) {
  const auto errors = map.errors();
  REQUIRE(errors.size() == 1);
  return errors.front().Kind;
}

EstimatorSettings twoRankSettings() {
  EstimatorSettings settings;
  settings.Experts = 2;
  settings.Ranks = 2;
  settings.WindowLength = seconds(10);
  return settings;
}

} // namespace

// Guards against a rank that confirms a different map from the staged one.
TEST_CASE("a map round-trips through its encoding and its hash covers each "
          "word",
          "[map]") {
  const ExpertMap map = smallMap();
  CHECK(ExpertMap::parse(map.serialize()) == map);
  ExpertMap other = map;
  other.setSlot(0, {0, 39999});
  other.setSlot(2, {0, ShareScale - 39999});
  CHECK(other.contentHash() != map.contentHash());
  const std::vector<ExpertMap> ab = {map, other};
  const std::vector<ExpertMap> ba = {other, map};
  CHECK(groupContentHash(ab) != groupContentHash(ba));
  CHECK(map.replicaRanks(0) == std::vector<std::uint32_t>{0, 1});
}

// Guards against a corrupted map that is accepted as valid.
TEST_CASE("corrupted maps are rejected", "[map]") {
  const std::string good = smallMap().serialize();
  CHECK_THROWS_AS(ExpertMap::parse(""), Error);
  CHECK_THROWS_AS(ExpertMap::parse(good.substr(0, good.size() - 1)), Error);
  CHECK_THROWS_AS(ExpertMap::parse(good + "x"), Error);
  for (std::size_t i = 0; i < good.size(); ++i) {
    std::string bad = good;
    bad[i] = static_cast<char>(bad[i] ^ 0x41);
    CHECK_THROWS_AS(ExpertMap::parse(bad), Error);
  }
}

// Guards against a map that assigns some tokens of an expert to no replica or
// twice.
TEST_CASE("each kind of map error is reported", "[map]") {
  ExpertMap map = smallMap();
  map.setSlot(1, {});
  CHECK(onlyErrorKind(map) == MapErrorKind::ExpertMissing);
  map = smallMap();
  map.setSlot(0, {0, 39999});
  CHECK(onlyErrorKind(map) == MapErrorKind::ShareSumMismatch);
  map = ExpertMap(1, 1, 2);
  map.setSlot(0, {0, ShareScale});
  map.setSlot(1, {0, 0});
  CHECK(onlyErrorKind(map) == MapErrorKind::ExpertTwiceOnRank);
  map.setSlot(1, {7, 0});
  CHECK(onlyErrorKind(map) == MapErrorKind::ExpertOutOfRange);
  map.setSlot(1, {NoExpert, 1});
  CHECK(onlyErrorKind(map) == MapErrorKind::ShareOnEmptySlot);
}

// Guards against transfers of replicas that the rank already holds in another
// slot.
TEST_CASE("only replicas new to a rank are transferred", "[map]") {
  const ExpertMap current = smallMap();
  ExpertMap next = current;
  next.setSlot(0, {1, ShareScale});
  next.setSlot(1, {2, 0});
  CHECK(transfersBetween(current, next) ==
        std::vector<ReplicaTransfer>{{2, 0}});
}

// Guards against wrong counts if reports are late, missing or repeated.
TEST_CASE("incomplete reports are scaled and late ones merged",
          "[popularity]") {
  PopularityEstimator estimator(twoRankSettings());
  CHECK(estimator.addReport({0, 5, 10, {100, 300}}) == ReportVerdict::Counted);
  CHECK(estimator.addReport({0, 5, 10, {100, 300}}) ==
        ReportVerdict::Duplicate);
  CHECK(estimator.addReport({9, 5, 10, {1, 1}}) == ReportVerdict::Malformed);
  CHECK(estimator.addReport({1, 5, 0, {1, 1}}) == ReportVerdict::Malformed);
  CHECK(estimator.addReport({1, 5, 10, {1}}) == ReportVerdict::Malformed);
  CHECK(estimator.addReport({1, 1000, 10, {1, 1}}) == ReportVerdict::TooEarly);
  estimator.setNewestWindow(5, TimePoint(seconds(50)));
  CHECK(estimator.estimate().Coverage == 0.5);
  CHECK(estimator.estimate().TokensPerStep == std::vector<double>{20.0, 60.0});
  // The late report of rank 1 still counts while its window is open.
  CHECK(estimator.addReport({1, 5, 10, {300, 100}}) == ReportVerdict::Counted);
  estimator.setNewestWindow(5, TimePoint(seconds(51)));
  CHECK(estimator.estimate().TokensPerStep == std::vector<double>{40.0, 40.0});
  estimator.setNewestWindow(8, TimePoint(seconds(80)));
  CHECK(estimator.addReport({1, 5, 10, {300, 100}}) == ReportVerdict::TooLate);
}

// Guards against a long predicted lifetime for a changing pattern and a short
// one for a steady pattern.
TEST_CASE("the lifetime is long for a steady pattern and short for a changing "
          "one",
          "[popularity]") {
  PopularityEstimator steady(twoRankSettings());
  PopularityEstimator changing(twoRankSettings());
  for (std::uint32_t window = 0; window < 12; ++window) {
    for (std::uint32_t rank = 0; rank < 2; ++rank) {
      steady.addReport({rank, window, 10, {1000, 2000}});
      changing.addReport({rank, window, 10, {500 + 100 * window, 2000}});
    }
    const TimePoint now(seconds(10 * window));
    steady.setNewestWindow(window, now);
    changing.setNewestWindow(window, now);
  }
  CHECK(steady.estimate().Lifetime == EstimatorSettings().MaxLifetime);
  CHECK(changing.estimate().Lifetime < seconds(300));
  CHECK(changing.estimate().Trend[0] > 5.0);
  CHECK(steady.estimate().Trend[0] == Approx(0.0).margin(1e-9));
}
