#include "libbergamotgateway/enginelimit.h"

#include <algorithm>
#include <cmath>

namespace bergamot::gateway {

using std::chrono::milliseconds;

namespace {

using FractionalMs = std::chrono::duration<double, std::milli>;

/// Ratio of the highest to the mean load of the ranks right after a shift in
/// expert popularity. Measured on the deployments' traffic: 2.8 to 3.7.
constexpr double PopularityShiftSkew = 3.2;
/// Fraction of the event gap objective that a pass may take. The rest is needed
/// for prompts that are prefilled in the same pass and for the network to the
/// caller.
constexpr double MaxPassFraction = 0.8;

} // namespace

std::uint32_t maxConcurrentStreams(const EngineProfile &engine,
                                   milliseconds eventGapObjective) {
  const std::uint32_t slots = std::max(1U, engine.Slots);
  if (eventGapObjective.count() == 0 || engine.StepMsPerSequence <= 0)
    return slots;
  const double streams = std::floor(
      maxStreamsPerRank(engine, eventGapObjective, PopularityShiftSkew, {}));
  return static_cast<std::uint32_t>(
      std::clamp(streams, 1.0, static_cast<double>(slots)));
}

double maxStreamsPerRank(const EngineProfile &engine,
                         milliseconds eventGapObjective, double skew,
                         base::Duration reserved) {
  const double expertFraction =
      engine.LayerSets > 0 ? engine.ExpertWorkFraction : 0;
  const double sequenceFactor = 1 - expertFraction + expertFraction * skew;
  const double stepsPerPass = std::max(1U, engine.StepsPerPass);
  const double sequenceBudgetMs =
      MaxPassFraction * static_cast<double>(eventGapObjective.count()) -
      FractionalMs(reserved).count() - stepsPerPass * engine.StepBaseMs;
  return sequenceBudgetMs /
         (stepsPerPass * engine.StepMsPerSequence * sequenceFactor);
}

base::Duration prefillTime(const EngineProfile &engine, double prompts) {
  if (engine.PrefillTokensPerMs <= 0)
    return {};
  return std::chrono::duration_cast<base::Duration>(FractionalMs(
      prompts * engine.TypicalPromptTokens / engine.PrefillTokensPerMs));
}

base::Duration typicalStreamTime(const EngineProfile &engine,
                                 std::uint32_t streams) {
  const double stepMs = engine.StepBaseMs + engine.StepMsPerSequence * streams;
  return prefillTime(engine, 1) +
         std::chrono::duration_cast<base::Duration>(
             FractionalMs(stepMs * engine.TypicalOutputTokens));
}

milliseconds minEventGapObjective(const RouteTable &table,
                                  const std::string &service) {
  milliseconds objective{0};
  for (const auto &route : table.routes()) {
    const bool usesService = std::any_of(
        route.Services.begin(), route.Services.end(),
        [&](const WeightedService &it) { return it.Service == service; });
    if (!usesService || route.EventGapObjective.count() == 0)
      continue;
    objective = objective.count() == 0
                    ? route.EventGapObjective
                    : std::min(objective, route.EventGapObjective);
  }
  return objective;
}

std::map<std::string, std::uint32_t>
maxConcurrentStreamsByService(const RouteTable &table) {
  std::map<std::string, std::uint32_t> limits;
  for (const auto &[name, service] : table.services())
    if (service.Engine)
      limits[name] = maxConcurrentStreams(*service.Engine,
                                          minEventGapObjective(table, name));
  return limits;
}

} // namespace bergamot::gateway
