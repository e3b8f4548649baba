// Replays shifts in expert popularity in virtual time and compares
// GroupStreamLimit with the fixed limit of enginelimit.h.
#include "libbergamotgateway/enginelimit.h"
#include "libbergamotgateway/groupstreamlimit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <utility>
#include <vector>

using namespace bergamot;
using namespace std::chrono_literals;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

using Time = std::chrono::duration<double, std::milli>;

struct Deployment {
  gateway::EngineProfile Engine;
  unsigned Groups;
  unsigned RanksPerGroup;
  unsigned Entries;
  unsigned EventsPerStream;
  milliseconds EventGapObjective;
  double StreamsPerSecond;
  /// Value of a late response relative to one in time.
  double LateValue;
  /// Whether all shifts of a group reach about the same skew.
  bool HasSteadyPeaks = false;
};

gateway::EngineProfile engine(double stepBaseMs, double prefillTokensPerMs) {
  gateway::EngineProfile it;
  it.StepBaseMs = stepBaseMs;
  it.StepMsPerSequence = 1.09;
  it.PrefillTokensPerMs = prefillTokensPerMs;
  it.Slots = 10;
  it.StepsPerPass = 5;
  it.TypicalPromptTokens = 800;
  it.LayerSets = 12;
  it.ExpertWorkFraction = 0.85;
  return it;
}

struct Result {
  unsigned InTime = 0;
  unsigned Late = 0;

  unsigned completed() const { return InTime + Late; }
  double lateFraction() const { return double(Late) / completed(); }
  double value(const Deployment &it) const {
    return InTime + it.LateValue * Late;
  }
};

/// Plays a deployment whose entries fill all slots within the limit. Each entry
/// sees only the gaps of its own streams.
class Replay {
public:
  Replay(const Deployment &deployment, bool isFixed, std::uint64_t seed)
      : Options(deployment), IsFixed(isFixed), Random(seed),
        Limits(deployment.Entries), Groups(deployment.Groups),
        FixedLimit(gateway::maxConcurrentStreams(
            deployment.Engine, deployment.EventGapObjective)) {
    for (Group &group : Groups) {
      group.Name = "group-" + std::to_string(&group - Groups.data());
      group.RankStreams.assign(Options.RanksPerGroup, 0);
      group.NextShiftAt = Time(draw(500, 3750));
      group.TypicalPeak = draw(2.15, 3.15);
    }
  }

  Result run() {
    Time nextArrivalAt{0};
    for (Time t{0}; t < Length; t += 5ms) {
      for (Group &group : Groups)
        if (group.PassEndsAt <= t) {
          endPass(group, t);
          startPass(group, t);
        }
      for (; nextArrivalAt <= t;
           nextArrivalAt += Time(std::exponential_distribution<>(
               Options.StreamsPerSecond / 1000)(Random)))
        Waiting.emplace_back(nextArrivalAt, Random() % Options.Entries);
      while (!Waiting.empty() && Waiting.front().first + MaxWait < t)
        Waiting.pop_front();
      std::erase_if(Waiting,
                    [&](const auto &it) { return dispatch(it.second, t); });
    }
    return Played;
  }

private:
  static constexpr milliseconds Length{60000};
  /// Streams that end earlier aren't counted.
  static constexpr milliseconds WarmUpTime{12000};
  static constexpr milliseconds MaxWait{250};

  struct Stream {
    std::size_t Entry;
    std::size_t Rank;
    unsigned EventsLeft;
    Time Prefill;
    bool HasFirstEvent = false;
    bool IsLate = false;
  };
  struct Group {
    std::string Name;
    std::vector<Stream> Streams;
    std::vector<unsigned> RankStreams;
    Time PassStartedAt{0};
    Time PassEndsAt{0};
    double StreamsPerRank = 0;
    Time NextShiftAt{0};
    Time ShiftEndsAt{0};
    double PeakSkew = 1;
    double TypicalPeak = 1;
  };

  double draw(double from, double to) {
    return std::uniform_real_distribution<>(from, to)(Random);
  }
  static TimePoint at(Time time) {
    return TimePoint(1h) + std::chrono::duration_cast<base::Duration>(time);
  }

  bool dispatch(std::size_t entry, Time t) {
    Group *best = nullptr;
    double maxFree = 0;
    for (Group &group : Groups) {
      const auto limit = IsFixed
                             ? FixedLimit
                             : Limits[entry].limit(group.Name, Options.Engine,
                                                   Options.EventGapObjective,
                                                   FixedLimit, at(t));
      const double free = double(limit) * Options.RanksPerGroup -
                          static_cast<double>(group.Streams.size());
      if (free > maxFree) {
        best = &group;
        maxFree = free;
      }
    }
    if (!best)
      return false;
    auto &ranks = best->RankStreams;
    const auto rank = std::min_element(ranks.begin(), ranks.end());
    ++*rank;
    const auto events =
        static_cast<unsigned>(draw(0.5, 1.5) * Options.EventsPerStream);
    const Time prefill(draw(0.5, 1.5) * Options.Engine.TypicalPromptTokens /
                       Options.Engine.PrefillTokensPerMs);
    best->Streams.push_back({entry,
                             static_cast<std::size_t>(rank - ranks.begin()),
                             events, prefill});
    return true;
  }

  void endPass(Group &group, Time t) {
    const Time gap = group.PassEndsAt - group.PassStartedAt;
    for (Stream &it : group.Streams) {
      if (it.Prefill > Time(0)) // Waits for the next pass.
        continue;
      if (it.HasFirstEvent) {
        it.IsLate |= gap > Options.EventGapObjective;
        const Time jitter(draw(-2, 2));
        Limits[it.Entry].recordGap(
            group.Name, Options.Engine,
            std::chrono::duration_cast<base::Duration>(gap + jitter),
            group.StreamsPerRank, at(t + 2ms + jitter));
      }
      it.HasFirstEvent = true;
      if (--it.EventsLeft > 0)
        continue;
      --group.RankStreams[it.Rank];
      if (t > WarmUpTime)
        ++(it.IsLate ? Played.Late : Played.InTime);
    }
    std::erase_if(group.Streams,
                  [](const Stream &it) { return it.EventsLeft == 0; });
  }

  void startPass(Group &group, Time t) {
    if (t >= group.NextShiftAt) {
      group.NextShiftAt += Time(draw(3500, 4000));
      group.ShiftEndsAt = t + Time(draw(300, 500));
      group.PeakSkew = Options.HasSteadyPeaks
                           ? group.TypicalPeak + draw(-0.15, 0.15)
                           : draw(2, 3.3);
    }
    const double skew = t < group.ShiftEndsAt ? group.PeakSkew : draw(1.2, 1.4);
    // Prompts on different ranks are prefilled at the same time.
    std::vector<Time> prefills(Options.RanksPerGroup);
    for (Stream &it : group.Streams)
      prefills[it.Rank] += std::exchange(it.Prefill, Time(0));
    const auto &engine = Options.Engine;
    const double expertFraction = engine.ExpertWorkFraction;
    group.StreamsPerRank =
        static_cast<double>(group.Streams.size()) / Options.RanksPerGroup;
    group.PassStartedAt = t;
    group.PassEndsAt = t + *std::max_element(prefills.begin(), prefills.end()) +
                       Time(engine.StepsPerPass *
                            (engine.StepBaseMs +
                             group.StreamsPerRank * engine.StepMsPerSequence *
                                 (1 - expertFraction + expertFraction * skew)));
  }

  const Deployment Options;
  const bool IsFixed;
  std::mt19937_64 Random;
  std::vector<gateway::GroupStreamLimit> Limits;
  std::vector<Group> Groups;
  std::deque<std::pair<Time, std::size_t>> Waiting;
  const std::uint32_t FixedLimit;
  Result Played;
};

Result replaySeeds(const Deployment &deployment, bool isFixed) {
  Result total;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const Result result = Replay(deployment, isFixed, seed).run();
    total.InTime += result.InTime;
    total.Late += result.Late;
  }
  return total;
}

void compare(Deployment deployment, std::pair<double, double> rates) {
  for (const double rate : {rates.first, rates.second})
    for (const bool hasSteadyPeaks : {false, true}) {
      deployment.StreamsPerSecond = rate;
      deployment.HasSteadyPeaks = hasSteadyPeaks;
      const Result fixed = replaySeeds(deployment, true);
      const Result byGroup = replaySeeds(deployment, false);
      INFO("seeds 1 to 4, " << rate << " streams/s, steady peaks "
                            << hasSteadyPeaks);
      CAPTURE(fixed.completed(), fixed.lateFraction(), byGroup.completed(),
              byGroup.lateFraction());
      CHECK(byGroup.completed() > 1.05 * fixed.completed());
      CHECK(byGroup.value(deployment) > 1.02 * fixed.value(deployment));
      // At the highest limit for the skew between shifts, 37 % or more are
      // late.
      CHECK(byGroup.lateFraction() < 0.12);
    }
}

} // namespace

TEST_CASE("groups of 32 ranks serve more with a limit by group") {
  compare({engine(4.55, 61.4), 2, 32, 14, 19, 150ms, 0, 0.3}, {240, 400});
}

TEST_CASE("groups of 24 ranks serve more with a limit by group") {
  compare({engine(5.85, 61.2), 3, 24, 24, 23, 120ms, 0, 0.5}, {250, 340});
}
