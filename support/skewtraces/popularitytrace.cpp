#include "skewtraces/popularitytrace.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace bergamot::skewtraces {

namespace {

// Standard deviation of the change of a logarithm per interval.
constexpr double SlowDrift = 0.01;
constexpr std::uint64_t TopicIntervals = 40;
// A shift exchanges the popularity of this part of the experts with others.
constexpr std::uint32_t TopicDivisor = 8;
constexpr double BurstChance = 0.1;
constexpr double BurstDecay = 0.75;

} // namespace

std::vector<TraceFamily> allFamilies() {
  return {TraceFamily::ZipfDrift, TraceFamily::TopicShift,
          TraceFamily::DailyCycle, TraceFamily::Bursts,
          TraceFamily::CorrelatedLayers};
}

std::string familyName(TraceFamily family) {
  switch (family) {
  case TraceFamily::ZipfDrift:
    return "zipf_drift";
  case TraceFamily::TopicShift:
    return "topic_shift";
  case TraceFamily::DailyCycle:
    return "daily_cycle";
  case TraceFamily::Bursts:
    return "bursts";
  case TraceFamily::CorrelatedLayers:
    return "correlated_layers";
  }
  return "unknown";
}

PopularityTrace::PopularityTrace(TraceSettings settings)
    : Settings(settings), Random(settings.Seed) {
  for (std::uint32_t layer = 0; layer < Settings.Layers; ++layer) {
    Base.push_back(zipf());
    Other.push_back(zipf());
    Burst.emplace_back(Settings.Experts, 0.0);
  }
  Topic.assign(Settings.Experts, 0.0);
}

std::vector<double> PopularityTrace::zipf() {
  std::vector<double> logs(Settings.Experts);
  for (std::size_t e = 0; e < logs.size(); ++e)
    logs[e] = -Settings.Exponent * std::log(static_cast<double>(e + 1));
  std::ranges::shuffle(logs, Random);
  return logs;
}

void PopularityTrace::drift(std::vector<double> &logs, double step) {
  std::normal_distribution<double> normal(0.0, step);
  for (double &value : logs)
    value += normal(Random);
}

void PopularityTrace::advanceBursts() {
  for (auto &layer : Burst) {
    for (double &value : layer)
      value *= BurstDecay;
    std::uniform_real_distribution<double> uniform;
    if (uniform(Random) < BurstChance)
      layer[Random() % Settings.Experts] +=
          std::log(2.0 + 4.0 * uniform(Random));
  }
}

void PopularityTrace::advance() {
  ++Interval;
  for (auto &layer : Base)
    drift(layer, SlowDrift);
  if (Settings.Family == TraceFamily::TopicShift &&
      Interval % TopicIntervals == 0) {
    for (auto &layer : Base)
      for (std::size_t i = 0; i < Settings.Experts / TopicDivisor; ++i) {
        const std::size_t a = Random() % Settings.Experts;
        const std::size_t b = Random() % Settings.Experts;
        std::swap(layer[a], layer[b]);
      }
  }
  if (Settings.Family == TraceFamily::Bursts)
    advanceBursts();
  if (Settings.Family == TraceFamily::CorrelatedLayers) {
    // One topic strength moves all layers at once, each with its own pattern.
    drift(Topic, 0.05);
    for (double &value : Topic)
      value *= 0.98;
  }
}

std::vector<double> PopularityTrace::layerParts(std::uint32_t layer) {
  std::vector<double> parts(Settings.Experts);
  const double phase = 2 * std::numbers::pi * static_cast<double>(Interval) /
                       Settings.CycleLength;
  const double mix = 0.5 - 0.5 * std::cos(phase);
  double sum = 0;
  for (std::size_t e = 0; e < parts.size(); ++e) {
    double value = std::exp(Base[layer][e] + Burst[layer][e]);
    if (Settings.Family == TraceFamily::DailyCycle)
      value = (1 - mix) * value + mix * std::exp(Other[layer][e]);
    if (Settings.Family == TraceFamily::CorrelatedLayers)
      value *= std::exp(2 * Topic[(e + layer * 7) % parts.size()]);
    parts[e] = value;
    sum += value;
  }
  for (double &value : parts)
    value /= sum;
  return parts;
}

std::vector<std::vector<double>> PopularityTrace::next() {
  std::vector<std::vector<double>> layers;
  for (std::uint32_t layer = 0; layer < Settings.Layers; ++layer)
    layers.push_back(layerParts(layer));
  advance();
  return layers;
}

std::vector<double> sampledStep(const std::vector<double> &parts, double tokens,
                                std::mt19937_64 &random) {
  std::normal_distribution<double> normal;
  std::vector<double> counts;
  counts.reserve(parts.size());
  for (const double part : parts) {
    const double mean = part * tokens;
    counts.push_back(std::max(0.0, mean + normal(random) * std::sqrt(mean)));
  }
  return counts;
}

} // namespace bergamot::skewtraces
