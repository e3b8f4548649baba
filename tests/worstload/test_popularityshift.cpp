#include "libbergamotgateway/enginelimit.h"
#include "libbergamotgateway/groupstreamlimit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <utility>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;

namespace {
const EngineProfile Engine1{4.55, 1.09, 0,  61.4, 0, 10, 5,   0,
                            800,  0,    12, 0,    0, 0,  0.85};
const EngineProfile Engine2{5.85, 0.426, 0,  61.2, 0, 10, 6,   0,
                            800,  0,     16, 0,    0, 0,  0.85};
struct Deployment {
  EngineProfile Engine;
  unsigned Groups, Ranks, Entries, Events;
  std::chrono::milliseconds Objective;
};
struct Stream {
  std::size_t Entry, Rank;
  double EventsLeft, PrefillMs;
  bool HasFirstEvent = false, IsLate = false;
};
struct Group {
  std::string Name;
  std::mt19937_64 Random; // Independent of the limits, so shifts are alike.
  std::vector<Stream> Streams{};
  base::Duration PassLength{};
  base::TimePoint PassEndsAt{}, NextShiftAt{}, ShiftEndsAt{};
  double Load = 0, PeakSkew = 1;
};

double draw(std::mt19937_64 &random, double low, double high) {
  return std::uniform_real_distribution<>(low, high)(random);
}
base::Duration fromMs(double ms) { return std::lround(ms * 1e6) * 1ns; }

/// Plays 60 s with 400 requests per second, about twice what the fixed limit
/// serves, and adds the streams in time and the late ones to `completed`. Each
/// entry sees only the gaps of its own streams.
void replay(const Deployment &options, bool isFixed, std::uint64_t seed,
            unsigned (&completed)[2]) {
  const auto &engine = options.Engine;
  const auto fixed = maxConcurrentStreams(engine, options.Objective);
  std::mt19937_64 random(seed);
  std::vector<GroupStreamLimit> limits(options.Entries);
  std::vector<Group> groups;
  for (unsigned i = 0; i < options.Groups; ++i)
    groups.push_back({std::to_string(i), std::mt19937_64(seed * 100 + i)});
  for (base::TimePoint now(1h); now < base::TimePoint(1h + 60s);
       now += 2500us) {
    for (Group &it : groups) {
      if (it.PassEndsAt > now)
        continue;
      std::vector<double> prefillMs(options.Ranks);
      for (Stream &stream : it.Streams) {
        prefillMs[stream.Rank] += stream.PrefillMs;
        if (std::exchange(stream.PrefillMs, 0) > 0)
          continue; // Waits for the next pass.
        if (std::exchange(stream.HasFirstEvent, true)) {
          stream.IsLate |= it.PassLength > options.Objective;
          const auto gap = it.PassLength + fromMs(draw(random, -2, 2));
          if (!isFixed) // Without gaps, the fixed limit applies.
            limits[stream.Entry].recordGap(it.Name, engine, gap, it.Load, now);
        }
        if (--stream.EventsLeft <= 0)
          ++completed[stream.IsLate];
      }
      std::erase_if(it.Streams, [](auto &s) { return s.EventsLeft <= 0; });
      if (now >= it.NextShiftAt) {
        it.NextShiftAt = now + fromMs(draw(it.Random, 2000, 6000));
        it.ShiftEndsAt = now + fromMs(draw(it.Random, 300, 500));
        it.PeakSkew = draw(it.Random, 2, 3.3);
      }
      const double skew =
          now < it.ShiftEndsAt ? it.PeakSkew : draw(random, 1.2, 1.4);
      it.Load = double(it.Streams.size()) / options.Ranks;
      const double sequences = it.Load * (0.15 + 0.85 * skew);
      // The slowest rank's own part, and the part of the rank whose experts
      // have the most work, of prompts and of sequences alike.
      const double prompts =
          0.15 * *std::max_element(prefillMs.begin(), prefillMs.end()) +
          0.85 * skew *
              std::accumulate(prefillMs.begin(), prefillMs.end(), 0.0) /
              options.Ranks;
      it.PassLength =
          fromMs(prompts +
                 engine.StepsPerPass * (engine.StepBaseMs +
                                        engine.StepMsPerSequence * sequences));
      it.PassEndsAt = now + it.PassLength;
    }
    const auto entry = random() % options.Entries;
    Group &it = groups[random() % groups.size()];
    const auto limit =
        limits[entry].limit(it.Name, engine, options.Objective, fixed, now);
    if (it.Streams.size() >= std::size_t(limit) * options.Ranks)
      continue;
    std::vector<unsigned> ranks(options.Ranks);
    for (const Stream &stream : it.Streams)
      ++ranks[stream.Rank];
    const auto rank = std::min_element(ranks.begin(), ranks.end());
    it.Streams.push_back({entry, std::size_t(rank - ranks.begin()),
                          std::floor(draw(random, 0.5, 1.5) * options.Events),
                          draw(random, 400, 1200) / engine.PrefillTokensPerMs});
  }
}
} // namespace

// Streams that start during shifts make running ones late.
TEST_CASE("groups complete more streams in time with a limit by group",
          "[popularityshift]") {
  // The fixed limit of the second deployment, 8, serves most already.
  const auto options = GENERATE(Deployment{Engine1, 2, 32, 14, 19, 150ms},
                                Deployment{Engine2, 3, 24, 24, 23, 120ms});
  unsigned fixed[2]{}, byGroup[2]{};
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    replay(options, true, seed, fixed);
    replay(options, false, seed, byGroup);
  }
  CAPTURE(fixed[0], fixed[1], byGroup[0], byGroup[1]); // Seeds 1 to 30
  CHECK(byGroup[0] >= fixed[0]);
  if (maxConcurrentStreams(options.Engine, options.Objective) == 6)
    CHECK(byGroup[0] > 1.02 * fixed[0]);
  CHECK(byGroup[1] < 0.03 * byGroup[0]);
}
