// Which requests an entry takes while it shuts down, and when it ends.
#include "libbergamotgateway/recentdurations.h"
#include "libbergamotgateway/shutdownpolicy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;
using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

/// Requests sent up to this time after SIGTERM may be cut in the last sixth of
/// the grace period; later ones only at their deadline.
constexpr milliseconds ExcusedUntil{3000};
/// Requests take up to this long from the caller to the entry.
constexpr milliseconds MaxTransitTime{400};

struct PlayedRequest {
  TimePoint SentAt;
  TimePoint ArrivedAt;
  TimePoint Deadline;
  /// When its response would be complete, unless the process ends before.
  TimePoint CompleteAt;
};

/// Returns when a policy ends the process if requests are in progress to the
/// last.
TimePoint forcedEnd(const ShutdownPolicy &policy, TimePoint requestedAt) {
  TimePoint at = requestedAt;
  while (!policy.isOver(at, false))
    at += 1ms;
  return at;
}

PlayedRequest drawRequest(std::mt19937 &random, TimePoint requestedAt,
                          Duration gracePeriod) {
  const auto draw = [&](milliseconds max) {
    return milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, max.count())(random));
  };
  PlayedRequest it;
  it.SentAt = requestedAt +
              draw(std::chrono::duration_cast<milliseconds>(gracePeriod + 1s));
  it.ArrivedAt = it.SentAt + draw(MaxTransitTime);
  it.Deadline = it.SentAt + 100ms + draw(9s);
  it.CompleteAt = it.ArrivedAt + draw(9s);
  return it;
}

} // namespace

// Guards against streams that were taken 3.0 to 3.2 s after SIGTERM and cut
// when the process ended.
TEST_CASE(
    "no request that is taken during a shutdown is cut before it is due") {
  const Duration gracePeriod = GENERATE(1s, 2s, 5s, 8s, 30s);
  for (unsigned seed = 1; seed <= 400; ++seed) {
    CAPTURE(gracePeriod / 1s, seed);
    std::mt19937 random(seed);
    const TimePoint requestedAt = TimePoint() + 1h;
    const ShutdownPolicy policy(requestedAt, gracePeriod);
    const TimePoint end = forcedEnd(policy, requestedAt);
    CHECK(end < requestedAt + gracePeriod);
    const PlayedRequest it = drawRequest(random, requestedAt, gracePeriod);
    if (it.ArrivedAt >= end)
      continue;
    // Most requests last as long as expected.
    const TimePoint expectedEnd =
        seed % 4 == 0 ? it.ArrivedAt + 200ms : it.CompleteAt;
    const bool taken =
        policy.takesRequest(it.ArrivedAt, it.Deadline, expectedEnd);
    const bool isCut = taken && it.CompleteAt > end && it.Deadline > end;
    const bool isExcused = it.SentAt <= requestedAt + ExcusedUntil &&
                           end >= requestedAt + gracePeriod * 5 / 6;
    if (isCut)
      CHECK(isExcused);
    if (it.Deadline <= end)
      CHECK(taken);
  }
}

TEST_CASE("a request that isn't expected to complete is rejected at once") {
  const TimePoint requestedAt = TimePoint() + 1h;
  const ShutdownPolicy policy(requestedAt, 8s);
  const auto takes = [&](Duration after, Duration longest, Duration expected) {
    const TimePoint now = requestedAt + after;
    return policy.takesRequest(now, now + longest, now + expected);
  };
  CHECK(takes(0s, 8s, 2s));
  CHECK(takes(2s, 8s, 5s));
  CHECK_FALSE(takes(2s, 8s, 6s));
  CHECK_FALSE(takes(2900ms, 8s, 1s));
  CHECK(takes(2900ms, 4s, 4s));
  CHECK(takes(6s, 600ms, 600ms));
  CHECK_FALSE(takes(7s, 600ms, 600ms));
}

TEST_CASE("an entry ends once it is drained and callers go elsewhere") {
  const TimePoint requestedAt = TimePoint() + 1h;
  const ShutdownPolicy policy(requestedAt, 8s);
  CHECK_FALSE(policy.isOver(requestedAt + 3s, true));
  CHECK(policy.isOver(requestedAt + 3500ms, true));
  CHECK_FALSE(policy.isOver(requestedAt + 7s, false));
  CHECK(policy.isOver(requestedAt + 7500ms, false));
}

TEST_CASE("the usual maximum of durations matches a sorted copy") {
  std::mt19937 random(7);
  RecentDurations durations;
  std::vector<Duration> all;
  for (int i = 0; i < 300; ++i) {
    all.emplace_back(milliseconds(random() % 5000));
    durations.add(all.back());
    const std::size_t n = std::min<std::size_t>(all.size(), 64);
    if (n < 20) {
      CHECK_FALSE(durations.usualMaximum());
      continue;
    }
    std::vector<Duration> last(all.end() - static_cast<std::ptrdiff_t>(n),
                               all.end());
    std::sort(last.begin(), last.end());
    const auto usual = durations.usualMaximum();
    REQUIRE(usual);
    const auto notExceeding = static_cast<std::size_t>(
        std::upper_bound(last.begin(), last.end(), *usual) - last.begin());
    CHECK(notExceeding * 100 >= n * 95);
    CHECK(*usual == last.at((n * 95 + 99) / 100 - 1));
  }
}
