// What targets announce in responses: that they are draining, or a back-off.
#include "libbergamotgateway/drainingtargets.h"
#include "libbergamotgateway/targetbackoffs.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;

namespace {

base::TimePoint at(std::chrono::milliseconds time) {
  return base::TimePoint() + time;
}

} // namespace

TEST_CASE("draining target is excluded until it restarts") {
  DrainingTargets draining;
  CHECK_FALSE(draining.contains("t", 100));
  draining.add("t", 100, at(0ms));
  CHECK(draining.contains("t", 100));
  CHECK_FALSE(draining.contains("other", 100));
  // An older record that arrives late doesn't make the target available again.
  CHECK(draining.contains("t", 90));
  CHECK_FALSE(draining.contains("t", 101));
}

TEST_CASE("old draining announcements expire") {
  DrainingTargets draining;
  for (int i = 0; i < 1000; ++i)
    draining.add("t" + std::to_string(i), 1, at(1min * i));
  CHECK(draining.size() <= 61);
  CHECK(draining.contains("t999", 1));
}

TEST_CASE("back-off lasts until the latest requested time") {
  TargetBackoffs backoffs;
  backoffs.setBackoff("t", 1, at(2000ms), at(0ms));
  backoffs.setBackoff("t", 1, at(500ms), at(100ms));
  CHECK(backoffs.backoffUntil("t", 1) == at(2000ms));
  CHECK(backoffs.backoffUntil("other", 1) <= at(0ms));
  SECTION("restart clears the back-off") {
    CHECK(backoffs.backoffUntil("t", 2) <= at(0ms));
    backoffs.setBackoff("t", 2, at(300ms), at(200ms));
    CHECK(backoffs.backoffUntil("t", 2) == at(300ms));
  }
  SECTION("excessive back-off is capped") {
    backoffs.setBackoff("t", 1, at(240h), at(0ms));
    CHECK(backoffs.backoffUntil("t", 1) <= at(1h));
  }
}
