#include "libbergamotgateway/groupstreamlimit.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// Low, so that the limit changes by more than one.
constexpr std::uint32_t Fallback = 2;
/// A quarter of the way from the fallback to the slots, which even passes
/// sustain.
constexpr std::uint32_t EvenLimit = 4;
constexpr double EvenSkew = 1.3;
const EngineProfile Engine{4.55, 1.09, 0,  61.4, 0, 10, 5,   0,
                           800,  0,    12, 0,    0, 0,  0.85};

/// Duration of a pass with six streams per rank.
milliseconds passLength(double skew) {
  return milliseconds(std::lround(27.655 + 27.795 * skew));
}

struct Feed {
  GroupStreamLimit Limits;
  base::TimePoint Now{1h};

  void record(milliseconds gap, double streams = 6, const char *group = "a") {
    Limits.recordGap(group, Engine, gap, streams, Now);
  }
  void passes(int count, milliseconds gap, const char *group = "a",
              double streams = 6) {
    for (; count > 0; --count) {
      Now += gap;
      for (int stream = 0; stream < 4; ++stream)
        record(gap, streams, group);
    }
  }
  std::uint32_t limit(const char *group = "a", milliseconds objective = 150ms,
                      std::uint32_t fallback = Fallback) const {
    return Limits.limit(group, Engine, objective, fallback, Now);
  }
};
} // namespace

TEST_CASE("a longer pass lowers the limit of its group at once, and shorter "
          "ones restore it slowly") {
  Feed feed;
  feed.passes(5, passLength(EvenSkew), "b");
  feed.passes(5, passLength(EvenSkew));
  CHECK(feed.limit() == EvenLimit);
  feed.passes(2, passLength(4.5));
  CHECK(feed.limit() == Fallback);
  CHECK(feed.limit("b") == EvenLimit);
  feed.passes(2, passLength(EvenSkew));
  CHECK(feed.limit() < EvenLimit);
  feed.passes(25, passLength(EvenSkew)); // 1.6 s
  CHECK(feed.limit() == EvenLimit);
}

TEST_CASE("the fallback applies without recent gaps, experts or objective") {
  Feed feed;
  CHECK(feed.limit() == Fallback);
  feed.passes(5, passLength(3.5));
  CHECK(feed.limit() == Fallback);
  CHECK(feed.limit("a", 0ms) == Fallback);
  CHECK(feed.Limits.limit("a", {}, 150ms, Fallback, feed.Now) == Fallback);
  feed.Now += 2s;
  CHECK(feed.limit() == Fallback);
  feed.passes(1,
              passLength(EvenSkew)); // The skew before the pause is outdated.
  CHECK(feed.limit() == EvenLimit);
  feed.Now += 62s; // Groups that disappeared must not use memory.
  feed.passes(1, passLength(EvenSkew), "b");
  feed.Limits.recordGap("c", {}, 80ms, 6, feed.Now);
  CHECK(feed.Limits.groupCount() == 1);
}

TEST_CASE("faulty gaps neither hide a shift nor are taken for one") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    Feed feed;
    for (int pass = 0; pass < 600; ++pass) {
      const bool isShifted = pass % 40 >= 36;
      const milliseconds gap = passLength(isShifted ? 3.2 : EvenSkew);
      feed.passes(1, gap);
      const auto kind = random() % 8;
      if (kind == 0) // A duplicate
        feed.record(gap);
      for (int i = 0; kind == 1 && i < 2; ++i) // A late event, then the next
        feed.record(gap + (i == 0 ? 40ms : -40ms));
      for (int i = 0; kind == 2 && i < 3; ++i) // Events that arrive together
        feed.record(milliseconds(random() % 10));
      if (kind == 3) // A stalled rank
        feed.passes(isShifted ? 0 : 2, milliseconds(400 + random() % 500));
      if (kind == 4) // A prompt extends the pass.
        feed.passes(isShifted ? 0 : 1, gap + 60ms);
      if (kind == 5) // Hardly any streams
        feed.passes(isShifted ? 0 : 2, gap, "a", double(random() % 2));
      if (pass % 40 >= 37) // The second pass of the shift has ended.
        REQUIRE(feed.limit() == Fallback);
      if (pass % 40 >= 28 && !isShifted)
        REQUIRE(feed.limit() == EvenLimit);
      REQUIRE(feed.limit("a", 20ms, 1) == 1);
      REQUIRE(feed.limit("a", 10s, 99) == Engine.Slots);
    }
  }
}
