#include "libbergamotgateway/retrybudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <vector>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;
using base::TimePoint;

namespace {

constexpr auto Window = 10000ms;

TimePoint at(std::chrono::milliseconds time) { return TimePoint(time); }

/// When the entries of a simulated fleet are killed.
enum class Restarts { None, Common, InTurn, Random };

/// A simulated fleet: requests reach random entries, and most fail and ask for
/// a retry. Killed entries forget everything.
class SimulatedFleet {
public:
  SimulatedFleet(unsigned entries, const RetryBound &bound, Restarts restarts,
                 std::uint64_t seed)
      : Bound(bound), Kind(restarts), Random(seed) {
    for (unsigned i = 0; i < entries; ++i)
      Entries.push_back({RetryBudget(bound, at(-Window)), at(-Window)});
  }

  void run(std::chrono::milliseconds length, double requestsPerSecond) {
    for (auto now = 0ms; now < length; now += 5ms) {
      restartEntries(now);
      std::poisson_distribution<int> arrivals(requestsPerSecond * 0.005);
      for (int n = arrivals(Random); n > 0; --n)
        addRequest(now);
    }
  }

  /// Returns by how many retries the bound is exceeded at most. A window's
  /// requests are those sent in it, in the one before it or in the one half a
  /// window before it, whichever are most.
  double maxExcess(std::chrono::milliseconds length) const {
    double excess = -1e9;
    for (auto from = 0ms; from + Window <= length; from += 50ms) {
      const auto requests = std::max({countWithin(Requests, from),
                                      countWithin(Requests, from - Window / 2),
                                      countWithin(Requests, from - Window)});
      const double allowed =
          Bound.Ratio * static_cast<double>(requests) + Bound.Slack;
      excess = std::max(
          excess, static_cast<double>(countWithin(Retries, from)) - allowed);
    }
    return excess;
  }

  std::size_t retryCount() const { return Retries.size(); }
  std::size_t requestCount() const { return Requests.size(); }

private:
  static constexpr auto FirstFailure = 10500ms;
  /// Time from the start of a process until it knows the names of the others.
  static constexpr auto TimeToKnowEntries = 300ms;

  struct SimulatedEntry {
    RetryBudget Budget;
    TimePoint StartedAt;
  };

  void restart(std::size_t i, std::chrono::milliseconds now) {
    Entries[i] = {RetryBudget(Bound, at(now)), at(now)};
  }

  void restartEntries(std::chrono::milliseconds now) {
    const bool isKillTime = now > 11000ms && now.count() % 1500 == 0;
    switch (Kind) {
    case Restarts::None:
      return;
    case Restarts::Common:
      if (isKillTime && now.count() % 4500 != 0)
        for (std::size_t i = 0; i < Entries.size(); ++i)
          restart(i, now);
      return;
    case Restarts::InTurn:
      if (now > 11000ms && now.count() % 250 == 0)
        restart(static_cast<std::size_t>(now.count() / 250) % Entries.size(),
                now);
      return;
    case Restarts::Random:
      if (isKillTime)
        for (std::size_t i = 0; i < Entries.size(); ++i)
          if (Random() % 3 != 0)
            restart(i, now);
      return;
    }
  }

  void addRequest(std::chrono::milliseconds now) {
    SimulatedEntry &it = Entries[Random() % Entries.size()];
    Requests.push_back(now);
    it.Budget.addRequest(at(now));
    // Without failures at first, all budgets are unused at the first kill.
    if (now < FirstFailure || Random() % 4 == 0)
      return;
    std::optional<unsigned> entryCount;
    if (at(now) - it.StartedAt >= TimeToKnowEntries)
      entryCount = std::max<unsigned>(8, static_cast<unsigned>(Entries.size()));
    if (it.Budget.takeRetry(entryCount, at(now)))
      Retries.push_back(now);
  }

  static std::ptrdiff_t
  countWithin(const std::vector<std::chrono::milliseconds> &times,
              std::chrono::milliseconds from) {
    return std::lower_bound(times.begin(), times.end(), from + Window) -
           std::lower_bound(times.begin(), times.end(), from);
  }

  RetryBound Bound;
  Restarts Kind;
  std::mt19937_64 Random;
  std::vector<SimulatedEntry> Entries;
  std::vector<std::chrono::milliseconds> Requests;
  std::vector<std::chrono::milliseconds> Retries;
};

} // namespace

// Each start of an entry granted its share of the slack and a full ratio again.
TEST_CASE("retries of all entries stay within the bound however often entries "
          "restart") {
  const RetryBound bound{0.2, 88, Window};
  for (const unsigned entries : {1U, 4U, 8U, 24U, 100U, 330U})
    for (const Restarts kind :
         {Restarts::None, Restarts::Common, Restarts::InTurn, Restarts::Random})
      for (const double rate : {20.0, 146.0, 1000.0})
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
          SimulatedFleet fleet(entries, bound, kind, seed);
          fleet.run(40000ms, rate);
          INFO("entries " << entries << ", restarts " << static_cast<int>(kind)
                          << ", requests/s " << rate << ", seed " << seed);
          CHECK(fleet.maxExcess(40000ms) <= 0);
        }
}

TEST_CASE(
    "a fleet without restarts retries up to half of the bound's ratio and "
    "its slack") {
  const RetryBound bound{0.2, 88, Window};
  SimulatedFleet fleet(4, bound, Restarts::None, 1);
  fleet.run(40000ms, 146);
  CHECK(static_cast<double>(fleet.retryCount()) >
        0.065 * static_cast<double>(fleet.requestCount()));
}

TEST_CASE("an entry that has run for a window grants a burst of retries") {
  RetryBudget budget({0.2, 88, Window}, at(0ms));
  for (auto now = Window / 2 + 50ms; now <= Window; now += 50ms)
    budget.addRequest(at(now));
  int granted = 0;
  while (budget.takeRetry(8, at(Window)))
    ++granted;
  CHECK(granted == 31);
}

TEST_CASE("an entry that has just started grants retries by its own requests "
          "only") {
  RetryBudget budget({0.2, 88, Window}, at(0ms));
  CHECK_FALSE(budget.takeRetry(8, at(0ms)));
  for (int i = 0; i < 100; ++i)
    budget.addRequest(at(100ms));
  int granted = 0;
  while (budget.takeRetry(8, at(200ms)))
    ++granted;
  CHECK(granted == 8);
}

TEST_CASE("without the number of entries no slack is granted") {
  RetryBudget budget({0.2, 88, Window}, at(0ms));
  CHECK_FALSE(budget.takeRetry(std::nullopt, at(Window)));
  CHECK(budget.takeRetry(8, at(Window)));
}
