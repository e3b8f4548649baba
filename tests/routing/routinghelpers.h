#ifndef BERGAMOT_ROUTING_ROUTINGHELPERS_H
#define BERGAMOT_ROUTING_ROUTINGHELPERS_H

#include "libbergamotrouting/routingtypes.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>

namespace bergamot::routing::testing {

/// Number of seeds of each differential test.
inline constexpr std::uint64_t SeedCount = 200;

/// Returns the time a number of milliseconds after the start of the test.
inline TimePoint atMs(std::int64_t ms) {
  return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
}

/// Returns a random number below n.
inline std::uint64_t randomBelow(std::mt19937_64 &random, std::uint64_t n) {
  return random() % n;
}

/// Runs a test case with the seeds 1 to SeedCount. A failure prints its seed.
template <typename Case> void forEachSeed(Case run) {
  for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    run(random);
  }
}

} // namespace bergamot::routing::testing

#endif
