#include "libbergamotgateway/groupstreamlimit.h"

#include "libbergamotgateway/enginelimit.h"

#include <algorithm>
#include <cmath>

namespace bergamot::gateway {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;
using Seconds = std::chrono::duration<double>;

/// Number of streams per rank below which the skew can't be computed: prefill
/// and jitter are a large part of such short passes.
constexpr double MinStreamsPerRank = 2;
/// Typical prompts whose prefill is subtracted from a gap. On a busy group,
/// most passes contain the prefill of a long prompt or of two prompts on the
/// same rank.
constexpr double PromptsPerPass = 1.5;
/// Typical prompts whose prefill a pass between shifts must have time for, in
/// addition to the margin of maxStreamsPerRank. Raising the limit starts
/// several streams on the same rank at once.
constexpr double ReservedPrompts = 2;
/// Gaps that show a higher skew are ignored. The measured skew is up to 3.7;
/// the rest is for passes with the prefill of several prompts.
constexpr double MaxPlausibleSkew = 5.5;
/// Gaps shorter than this fraction of the shortest possible pass are ignored.
/// Slightly shorter ones occur if the number of streams is outdated.
constexpr double MinPassFraction = 0.5;
/// Skew at and above which a group counts as shifted. It is about 1.3 between
/// shifts, and 2 or more after a shift.
constexpr double ShiftedSkew = 2;
/// Decrease of the present skew per second of shorter passes. At higher values,
/// the prefill of all streams that start after a shift makes others late.
constexpr double SkewDecreasePerSecond = 2;
/// Time after which gaps no longer show the present skew; longer than any pass
/// and shorter than the interval between shifts.
constexpr std::chrono::seconds GapLifetime{2};
/// A shift may have remained unnoticed in a time without gaps of this length,
/// because shifts last 0.3 s or more.
constexpr milliseconds MaxUnseenTime{300};
/// Time without a shift after which no shift is expected; more than two
/// intervals between shifts, which are 3.5 to 4 s.
constexpr std::chrono::seconds ShiftMemory{10};
/// Part of the raise above the fallback that is used if no shift is expected.
/// Streams run at this limit for all of their passes, some of which contain
/// several long prompts: in a replay without shifts, the full raise made up to
/// 44 % of the streams late.
constexpr double LastingFraction = 0.5;
/// Number of shifts from which the shortest interval is known; a single
/// interval may span a shift that wasn't noticed.
constexpr std::size_t MinShifts = 3;
/// Starts of shifts closer together than this belong to the same shift; a shift
/// lasts up to 0.5 s.
constexpr std::chrono::seconds MinShiftInterval{1};
/// A shift may start by this much earlier than expected: intervals vary by
/// 0.5 s, and shifts are noticed after two passes of about 0.13 s.
constexpr milliseconds ShiftTimeError{750};
/// Time for the streams above the fallback to end; about the duration of a
/// stream.
constexpr milliseconds DrainTime{2000};

Duration prefillTime(const EngineProfile &engine, double prompts) {
  if (engine.PrefillTokensPerMs <= 0)
    return {};
  return std::chrono::duration_cast<Duration>(Milliseconds(
      prompts * engine.TypicalPromptTokens / engine.PrefillTokensPerMs));
}

/// Returns the skew that a gap shows, or std::nullopt if no pass of the engine
/// explains the gap.
std::optional<double> skewOf(const EngineProfile &engine, Duration gap,
                             double streamsPerRank) {
  const double stepsPerPass = std::max(1U, engine.StepsPerPass);
  const Milliseconds sequences(stepsPerPass * streamsPerRank *
                               engine.StepMsPerSequence);
  const Milliseconds evenPass =
      Milliseconds(stepsPerPass * engine.StepBaseMs) + sequences;
  if (gap < MinPassFraction * evenPass)
    return std::nullopt;
  const Milliseconds excess =
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

TimePoint GroupStreamLimit::State::lastShiftAt() const {
  return ShiftStarts.at((ShiftCount - 1) % MaxShifts);
}

void GroupStreamLimit::State::recordShift(TimePoint startedAt) {
  EvenSince = startedAt;
  if (ShiftCount > 0 && startedAt - lastShiftAt() >= ShiftMemory)
    ShiftCount = 0;
  if (ShiftCount > 0 && startedAt - lastShiftAt() < MinShiftInterval)
    return;
  ShiftStarts.at(ShiftCount % MaxShifts) = startedAt;
  ++ShiftCount;
}

void GroupStreamLimit::State::endPass(TimePoint now) {
  const double skew = steadySkew();
  const double decrease = SkewDecreasePerSecond * Seconds(now - LastPassAt) /
                          std::chrono::seconds(1);
  PresentSkew = std::max(skew, PresentSkew - decrease);
  if (skew >= ShiftedSkew && !IsShifted)
    recordShift(LastPassAt);
  IsShifted = skew >= ShiftedSkew;
  PreviousPassSkew = LatestPass.value();
  LatestPass = {};
}

std::optional<TimePoint>
GroupStreamLimit::State::nextShiftAt(TimePoint now) const {
  if (now - EvenSince >= ShiftMemory)
    return TimePoint::max();
  if (ShiftCount < MinShifts)
    return std::nullopt;
  Duration minInterval = Duration::max();
  const std::size_t first = ShiftCount - std::min(ShiftCount, MaxShifts);
  for (std::size_t i = first + 1; i < ShiftCount; ++i)
    minInterval =
        std::min(minInterval, ShiftStarts.at(i % MaxShifts) -
                                  ShiftStarts.at((i - 1) % MaxShifts));
  return lastShiftAt() + minInterval;
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
  if (isNew || now - state.LastGapAt >= GapLifetime) {
    state = {};
    state.EvenSince = now;
    state.LastPassAt = now;
  } else if (now - state.LastPassAt > gap / 2) {
    // The events of a pass arrive almost at the same time.
    state.endPass(now);
    if (now - state.LastGapAt >= MaxUnseenTime)
      state.EvenSince += now - state.LastGapAt;
    state.LastPassAt = now;
  }
  state.LatestPass.add(skew);
  state.LastGapAt = now;
}

std::uint32_t GroupStreamLimit::limit(const std::string &group,
                                      const EngineProfile &engine,
                                      milliseconds eventGapObjective,
                                      std::uint32_t fallback,
                                      TimePoint now) const {
  const auto it = ByGroup.find(group);
  if (it == ByGroup.end() || now - it->second.LastGapAt >= GapLifetime ||
      !hasSkew(engine) || eventGapObjective.count() <= 0)
    return fallback;
  const State &state = it->second;
  const double skew = std::max(state.PresentSkew, state.steadySkew());
  const double shiftLimit =
      std::min(static_cast<double>(fallback),
               maxStreamsPerRank(engine, eventGapObjective, skew, {}));
  const double evenLimit = std::max(
      shiftLimit, maxStreamsPerRank(engine, eventGapObjective, skew,
                                    prefillTime(engine, ReservedPrompts)));
  double evenFraction = 0;
  if (const auto nextShiftAt = state.nextShiftAt(now))
    evenFraction =
        *nextShiftAt == TimePoint::max()
            ? LastingFraction
            : std::clamp((Milliseconds(*nextShiftAt - now) - ShiftTimeError) /
                             DrainTime,
                         0.0, 1.0);
  const double streams =
      std::floor(shiftLimit + evenFraction * (evenLimit - shiftLimit));
  const double slots = std::max(1U, engine.Slots);
  return static_cast<std::uint32_t>(std::clamp(streams, 1.0, slots));
}

} // namespace bergamot::gateway
