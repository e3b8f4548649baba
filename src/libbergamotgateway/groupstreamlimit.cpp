#include "libbergamotgateway/groupstreamlimit.h"

#include "libbergamotgateway/enginelimit.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace bergamot::gateway {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

using FractionalMs = std::chrono::duration<double, std::milli>;

/// Number of streams per rank below which the skew can't be computed: prefill
/// and jitter are a large part of such short passes.
constexpr double MinStreamsPerRank = 2;
/// Typical prompts whose prefill is subtracted from a gap. On a busy group,
/// most passes contain the prefill of a long prompt or of two prompts on the
/// same rank.
constexpr double PromptsPerPass = 1.5;
/// Typical prompts whose prefill a pass must have time for, in addition to the
/// margin of maxStreamsPerRank. The longest prefill of all ranks extends the
/// pass. At 2.5, a deployment with 64 ranks rejected requests in a burst in
/// which no stream was late by a pause.
constexpr double ReservedPrompts = 2;
/// Gaps that show a higher skew are ignored. The measured skew is up to 3.7;
/// the rest is for passes with the prefill of several prompts.
constexpr double MaxPlausibleSkew = 5.5;
/// Gaps shorter than this fraction of the shortest possible pass are ignored.
/// Slightly shorter ones occur if the number of streams is outdated.
constexpr double MinPassFraction = 0.5;
/// Decrease of the present skew per second of shorter passes, so that few
/// streams start right after a shift, whose prompts would make others late.
constexpr double SkewDecreasePerSecond = 2;
/// Time after which gaps no longer show the present skew; longer than any pass.
/// The skew may change within 2 s.
constexpr std::chrono::seconds GapLifetime{2};
/// Time after which groups without gaps are evicted.
constexpr std::chrono::minutes IdleGroupLifetime{1};

/// Part of a raise above the fallback that is used. Popularity shifts every few
/// seconds in traffic of the deployments, and all streams that run then are
/// late if there are too many for the skew of the next passes: with half of the
/// raise nine on engines whose passes keep the objective with eight.
constexpr double RaisedFraction = 0.25;

/// Returns the skew that a gap shows, or std::nullopt if no pass of the engine
/// explains the gap.
std::optional<double> skewOf(const EngineProfile &engine, Duration gap,
                             double streamsPerRank) {
  const double stepsPerPass = std::max(1U, engine.StepsPerPass);
  const FractionalMs sequences(stepsPerPass * streamsPerRank *
                               engine.StepMsPerSequence);
  const FractionalMs evenPass =
      FractionalMs(stepsPerPass * engine.StepBaseMs) + sequences;
  if (gap < MinPassFraction * evenPass)
    return std::nullopt;
  const FractionalMs excess =
      gap - prefillTime(engine, PromptsPerPass) - evenPass;
  const double skew = 1 + excess / (sequences * engine.ExpertWorkFraction);
  if (skew > MaxPlausibleSkew)
    return std::nullopt;
  return std::max(1.0, skew);
}

bool hasSkew(const EngineProfile &engine) {
  return engine.LayerSets > 0 && engine.ExpertWorkFraction > 0 &&
         engine.StepMsPerSequence > 0;
}

} // namespace

void GroupStreamLimit::PassSkews::add(double skew) {
  ++Count;
  SecondLowest = std::min(SecondLowest, std::max(Lowest, skew));
  Lowest = std::min(Lowest, skew);
}

double GroupStreamLimit::PassSkews::value() const {
  return Count >= 3 ? SecondLowest : Lowest;
}

double GroupStreamLimit::State::steadySkew() const {
  return std::min(LatestPass.value(), PreviousPassSkew);
}

void GroupStreamLimit::State::endPass(TimePoint now) {
  const double skew = steadySkew();
  const std::chrono::duration<double> seconds = now - LastPassAt;
  const double decrease = SkewDecreasePerSecond * seconds.count();
  PresentSkew = std::max(skew, PresentSkew - decrease);
  PreviousPassSkew = LatestPass.value();
  LatestPass = {};
}

void GroupStreamLimit::recordGap(const std::string &group,
                                 const EngineProfile &engine, Duration gap,
                                 double streamsPerRank, TimePoint now) {
  if (!hasSkew(engine) || !(streamsPerRank >= MinStreamsPerRank))
    return;
  const auto gapSkew = skewOf(engine, gap, streamsPerRank);
  if (!gapSkew)
    return;
  const double skew = std::min(*gapSkew, MaxSkew);
  const auto [it, isNew] = ByGroup.try_emplace(group);
  State &state = it->second;
  if (isNew || now >= state.GapsExpireAt) {
    state = {};
    state.LastPassAt = now;
  } else if (now - state.LastPassAt > gap / 2) {
    // The events of a pass arrive almost at the same time.
    state.endPass(now);
    state.LastPassAt = now;
  }
  state.LatestPass.add(skew);
  state.GapsExpireAt = now + GapLifetime;
  // The map only grows here, so nothing has to be checked at other gaps.
  if (isNew)
    evictIdleGroups(now);
}

void GroupStreamLimit::evictIdleGroups(TimePoint now) {
  std::erase_if(ByGroup, [&](const auto &it) {
    return now >= it.second.GapsExpireAt + IdleGroupLifetime;
  });
}

std::uint32_t GroupStreamLimit::limit(const std::string &group,
                                      const EngineProfile &engine,
                                      milliseconds eventGapObjective,
                                      std::uint32_t fallback,
                                      TimePoint now) const {
  const auto it = ByGroup.find(group);
  if (it == ByGroup.end() || now >= it->second.GapsExpireAt ||
      !hasSkew(engine) || eventGapObjective.count() <= 0)
    return fallback;
  const State &state = it->second;
  const double skew = std::max(state.PresentSkew, state.steadySkew());
  const double highest = std::max(1U, engine.Slots);
  const double sustained = maxStreamsPerRank(
      engine, eventGapObjective, skew, prefillTime(engine, ReservedPrompts));
  // The fallback already holds for the worst skew, so a limit below it would
  // only reject requests while popularity shifts.
  const double raise = std::max(0.0, std::min(sustained, highest) - fallback);
  const double streams = std::floor(fallback + RaisedFraction * raise);
  return static_cast<std::uint32_t>(std::clamp(streams, 1.0, highest));
}

} // namespace bergamot::gateway
