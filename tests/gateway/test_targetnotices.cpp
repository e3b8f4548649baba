// What targets announce in responses: that they are leaving, or a back-off.
#include "libbergamotgateway/leavingtargets.h"
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

TEST_CASE("leaving target is excluded until it restarts") {
  LeavingTargets leaving;
  CHECK_FALSE(leaving.contains("t", 100));
  leaving.add("t", 100, at(0ms));
  CHECK(leaving.contains("t", 100));
  CHECK_FALSE(leaving.contains("other", 100));
  // An older record that arrives late doesn't make the target available again.
  CHECK(leaving.contains("t", 90));
  CHECK_FALSE(leaving.contains("t", 101));
}

TEST_CASE("old leave announcements expire") {
  LeavingTargets leaving;
  for (int i = 0; i < 1000; ++i)
    leaving.add("t" + std::to_string(i), 1, at(1min * i));
  CHECK(leaving.size() <= 61);
  CHECK(leaving.contains("t999", 1));
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
