// Replays requests that compete for the slots of a service and compares the
// decisions of the current settings with those of the default ones.
#include "loadreplay.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <map>
#include <string>

using namespace bergamot;
using namespace bergamot::worstload;
using namespace std::chrono_literals;
using gateway::WaitSettings;

namespace {

using Results = std::vector<Result>;

Load load(std::uint32_t priority, milliseconds objective,
          const std::map<milliseconds, double> &rates,
          const std::string &account = "") {
  Load it{priority, objective, rates, account};
  it.OnRejection = Retry::AfterDelay;
  return it;
}

/// Replays 20 seeds and prints the results; those from `firstOfRest` on are
/// added up.
Results replaySeeds(const char *name, std::vector<Load> loads,
                    const WaitSettings &settings, std::size_t firstOfRest) {
  Results results(firstOfRest + 1);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (std::size_t i = 0; i < loads.size(); ++i)
      loads[i].Seed = 100 * seed + i;
    const Results ofSeed = replay(loads, CurrentPolicy(settings), seed);
    for (std::size_t i = 0; i < loads.size(); ++i)
      results[std::min(i, firstOfRest)].add(ofSeed[i]);
  }
  for (std::size_t i = 0; i < results.size(); ++i)
    std::printf("%s load %zu: arrived %u, on time %.3f, served %.3f\n", name, i,
                results[i].Arrived, results[i].onTimeShare(),
                results[i].servedShare());
  return results;
}

} // namespace

// Guards against urgent requests that are rejected because less urgent ones
// have filled the queue. The capacity is 25 requests per second; the routes are
// those of the first deployment at one of its entries.
TEST_CASE("urgent burst after a burst of less urgent requests") {
  const std::vector<Load> loads{
      load(0, 500ms, {{0ms, 8}, {3000ms, 30}, {6000ms, 8}}),
      load(1, 500ms, {{0ms, 6}}),
      load(2, 1000ms, {{0ms, 4}, {2000ms, 40}, {4000ms, 4}})};
  const Results before = replaySeeds("previous", loads, {}, 2);
  const Results now = replaySeeds("by priority", loads, {true, false}, 2);
  CHECK(now[0].onTimeShare() > 1.4 * before[0].onTimeShare());
  CHECK(now[0].onTimeShare() >= now[1].onTimeShare());
  CHECK(now[0].onTimeShare() >= now[2].onTimeShare());
  CHECK(now[1].onTimeShare() >= before[1].onTimeShare());
}

// Guards against starving less urgent requests while the most urgent ones alone
// exceed the capacity.
TEST_CASE("less urgent requests are served under lasting urgent overload") {
  const std::vector<Load> loads{load(0, 500ms, {{0ms, 40}}),
                                load(1, 500ms, {{0ms, 6}}),
                                load(2, 1000ms, {{0ms, 4}})};
  replaySeeds("previous", loads, {}, 2);
  const Results now = replaySeeds("by priority", loads, {true, false}, 2);
  Result all;
  for (const auto &it : now)
    all.add(it);
  for (const auto &it : now)
    CHECK(it.servedShare() >= all.servedShare() / 4);
}

// Guards against an account that pushes back others of the same priority by
// sending three times as often and by retrying rejected requests at once.
TEST_CASE(
    "account that sends more than others gains nothing at their expense") {
  // The capacity is 25 requests per second, demand without retries 35.
  std::vector<Load> loads;
  loads.reserve(24);
  for (int i = 0; i < 24; ++i)
    loads.push_back(load(1, 500ms, {{0ms, 1.35}}, std::to_string(i)));
  // The results are those of the first account and of all others together.
  replaySeeds("equal accounts, by arrival", loads, {true, false}, 1);
  replaySeeds("equal accounts, by account", loads, {true, true}, 1);
  loads[0].Rates = {{0ms, 4.05}};
  for (const bool retries : {false, true}) {
    loads[0].OnRejection = retries ? Retry::AtOnce : Retry::AfterDelay;
    const Results before = replaySeeds("by arrival", loads, {true, false}, 1);
    const Results now = replaySeeds("by account", loads, {true, true}, 1);
    CHECK(now[0].onTimeShare() < 0.9 * now[1].onTimeShare());
    CHECK(now[1].onTimeShare() > before[1].onTimeShare() + 0.02);
    CHECK(now[1].servedShare() > before[1].servedShare());
    CHECK(now[0].servedShare() > now[1].servedShare() / 4);
  }
}
