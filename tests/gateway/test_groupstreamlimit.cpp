#include "libbergamotgateway/groupstreamlimit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t Fallback = 6;
constexpr std::uint32_t Slots = 10;
/// The limit after ten seconds without a shift.
constexpr std::uint32_t EvenLimit = 9;
constexpr double StreamsPerRank = 6;
constexpr milliseconds Objective{150};
constexpr double EvenSkew = 1.3;
constexpr double ShiftSkew = 3;
constexpr milliseconds ShiftInterval{3750};
constexpr milliseconds ShiftLength{400};

EngineProfile engine() {
  EngineProfile it;
  it.StepBaseMs = 4.55;
  it.StepMsPerSequence = 1.09;
  it.PrefillTokensPerMs = 61.4;
  it.Slots = Slots;
  it.StepsPerPass = 5;
  it.TypicalPromptTokens = 800;
  it.LayerSets = 12;
  it.ExpertWorkFraction = 0.85;
  return it;
}

milliseconds passLength(double skew) {
  return milliseconds(static_cast<std::int64_t>(
      5 * (4.55 + StreamsPerRank * 1.09 * (0.15 + 0.85 * skew))));
}

/// Feeds the gaps of the streams of one group, with a shift at each multiple of
/// ShiftInterval if the group has shifts.
class Feed {
public:
  explicit Feed(std::string group, bool hasShifts = false)
      : Group(std::move(group)), HasShifts(hasShifts) {}

  void record(GroupStreamLimit &limits, milliseconds gap) const {
    limits.recordGap(Group, engine(), gap, StreamsPerRank, now());
  }
  void pass(GroupStreamLimit &limits, milliseconds gap) {
    Elapsed += gap;
    for (int i = 0; i < 4; ++i)
      record(limits, gap);
  }
  void runUntil(GroupStreamLimit &limits, milliseconds until) {
    while (Elapsed < until)
      pass(limits, gapLength());
  }
  milliseconds gapLength() const {
    return passLength(isShifted() ? ShiftSkew : EvenSkew);
  }
  bool isShifted() const {
    return HasShifts && Elapsed % ShiftInterval < ShiftLength;
  }
  std::uint32_t limit(const GroupStreamLimit &limits,
                      milliseconds later = 0ms) const {
    return limits.limit(Group, engine(), Objective, Fallback, now() + later);
  }
  TimePoint now() const { return TimePoint(1h) + Elapsed; }

  std::string Group;
  bool HasShifts;
  milliseconds Elapsed{0};
};

} // namespace

TEST_CASE("evenly used experts raise the limit only after ten seconds, and "
          "without gaps the fallback applies") {
  GroupStreamLimit limits;
  Feed feed("a");
  CHECK(feed.limit(limits) == Fallback);
  feed.runUntil(limits, 9900ms);
  CHECK(feed.limit(limits) == Fallback);
  feed.runUntil(limits, 10200ms);
  CHECK(feed.limit(limits) == EvenLimit);
  CHECK(feed.limit(limits, 2100ms) == Fallback);
  CHECK(Feed("b").limit(limits) == Fallback);
  // Gaps from before a pause say nothing about shifts since then.
  feed.Elapsed += 5000ms;
  feed.pass(limits, passLength(EvenSkew));
  CHECK(feed.limit(limits) == Fallback);
}

TEST_CASE("longer passes lower the limit at once and shorter ones raise it "
          "slowly") {
  GroupStreamLimit limits;
  Feed feed("a");
  feed.runUntil(limits, 11000ms);
  // A skew that doesn't count as a shift.
  feed.pass(limits, passLength(2));
  feed.pass(limits, passLength(2));
  const auto lowered = feed.limit(limits);
  CHECK(lowered < EvenLimit);
  CHECK(lowered > Fallback);
  feed.pass(limits, passLength(EvenSkew));
  feed.pass(limits, passLength(EvenSkew));
  CHECK(feed.limit(limits) < EvenLimit);
  feed.runUntil(limits, 13000ms);
  CHECK(feed.limit(limits) == EvenLimit);
  // The skew exceeds the one that the fallback assumes.
  feed.pass(limits, passLength(4.5));
  feed.pass(limits, passLength(4.5));
  CHECK(feed.limit(limits) < Fallback);
}

// A limit that is raised until the next shift begins makes the streams late
// that started before it.
TEST_CASE("limit is back at the fallback before the next shift is due") {
  GroupStreamLimit limits;
  Feed feed("a", true);
  feed.runUntil(limits, 5 * ShiftInterval + 1300ms);
  CHECK(feed.limit(limits) > Fallback);
  feed.runUntil(limits, 6 * ShiftInterval - 600ms);
  CHECK(feed.limit(limits) == Fallback);
  // A shift that comes late or isn't noticed leaves it there.
  feed.HasShifts = false;
  feed.runUntil(limits, 6 * ShiftInterval + 3000ms);
  CHECK(feed.limit(limits) == Fallback);
  feed.runUntil(limits, 8 * ShiftInterval + 1000ms);
  CHECK(feed.limit(limits) == EvenLimit);
}

TEST_CASE(
    "stalls, single long passes and few streams aren't taken for shifts") {
  GroupStreamLimit limits;
  Feed feed("a");
  feed.runUntil(limits, 11000ms);
  feed.pass(limits, 1500ms);
  CHECK(feed.limit(limits) == EvenLimit);
  feed.pass(limits, passLength(EvenSkew) + 60ms);
  CHECK(feed.limit(limits) == EvenLimit);
  for (int i = 0; i < 3; ++i) { // The first event of each pass is late.
    feed.Elapsed += passLength(EvenSkew);
    feed.record(limits, passLength(EvenSkew) + 60ms);
    for (int stream = 0; stream < 3; ++stream)
      feed.record(limits, passLength(EvenSkew));
  }
  CHECK(feed.limit(limits) == EvenLimit);
  // Passes with prompts and hardly any streams.
  for (int i = 0; i < 4; ++i) {
    feed.Elapsed += 55ms;
    limits.recordGap("a", engine(), 55ms, 1, feed.now());
    limits.recordGap("a", engine(), 55ms, 0, feed.now());
  }
  CHECK(feed.limit(limits) == EvenLimit);
}

TEST_CASE("events that arrive together don't hide a longer pass") {
  GroupStreamLimit limits;
  Feed feed("a");
  feed.runUntil(limits, 11000ms);
  for (int i = 0; i < 2; ++i) {
    feed.pass(limits, passLength(ShiftSkew));
    for (int event = 0; event < 3; ++event)
      feed.record(limits, 1ms);
  }
  CHECK(feed.limit(limits) <= Fallback);
}

// A shift may have happened in the pause, and the next one be due.
TEST_CASE("time without gaps doesn't count as time without shifts") {
  GroupStreamLimit limits;
  Feed feed("a");
  feed.runUntil(limits, 8000ms);
  feed.Elapsed += 1500ms;
  feed.runUntil(limits, 11000ms);
  CHECK(feed.limit(limits) == Fallback);
  feed.runUntil(limits, 12000ms);
  CHECK(feed.limit(limits) == EvenLimit);
}

TEST_CASE("engines without experts or objective keep the fallback") {
  GroupStreamLimit limits;
  Feed feed("a");
  feed.runUntil(limits, 11000ms);
  CHECK(limits.limit("a", engine(), 0ms, Fallback, feed.now()) == Fallback);
  EngineProfile withoutExperts = engine();
  withoutExperts.LayerSets = 0;
  limits.recordGap("b", withoutExperts, 80ms, StreamsPerRank, feed.now());
  CHECK(limits.limit("b", withoutExperts, Objective, Fallback, feed.now()) ==
        Fallback);
}

// Each fault alone must neither hide a shift nor be taken for one.
TEST_CASE("late, duplicate, bundled and stalled gaps of several groups leave "
          "the limits as they are") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto oneIn = [&](unsigned n) { return random() % n == 0; };
    GroupStreamLimit limits;
    std::vector<Feed> feeds{Feed("even"), Feed("shifting", true),
                            Feed("also shifting", true)};
    unsigned raised = 0;
    for (milliseconds until{0}; until < 60000ms; until += 10ms)
      for (Feed &feed : feeds) {
        if (feed.Elapsed >= until)
          continue;
        const auto before = feed.Elapsed;
        // Up to 1.5 s without any gap.
        if (oneIn(400))
          feed.Elapsed += milliseconds(random() % 1500);
        const milliseconds gap = feed.gapLength();
        feed.pass(limits, gap);
        if (oneIn(5)) // Duplicates
          feed.record(limits, gap);
        if (oneIn(5)) { // A late event and the next one, right after it
          feed.record(limits, gap + 40ms);
          feed.record(limits, gap - 40ms);
        }
        if (oneIn(20)) // Several events together
          for (int i = 0; i < 3; ++i)
            feed.record(limits, milliseconds(random() % 10));
        if (oneIn(20)) // A stalled rank
          feed.record(limits, milliseconds(400 + random() % 4000));
        const std::uint32_t limit = feed.limit(limits);
        REQUIRE(limit >= 1);
        REQUIRE(limit <= Slots);
        if (before < 20000ms)
          continue;
        if (!feed.HasShifts)
          REQUIRE(limit == EvenLimit);
        else if (feed.Elapsed % ShiftInterval > ShiftInterval - 200ms)
          REQUIRE(limit <= Fallback);
        else
          raised += limit > Fallback;
      }
    CHECK(raised > 100);
    for (const Feed &feed : feeds)
      CHECK(feed.limit(limits, 2100ms) == Fallback);
  }
}
