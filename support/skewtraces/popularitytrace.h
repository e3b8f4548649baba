#ifndef BERGAMOT_SKEWTRACES_POPULARITYTRACE_H
#define BERGAMOT_SKEWTRACES_POPULARITYTRACE_H

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace bergamot::skewtraces {

/// Families of synthetic popularity over time.
enum class TraceFamily {
  ZipfDrift,
  TopicShift,
  DailyCycle,
  Bursts,
  CorrelatedLayers,
};

/// All families, in the order of the enumeration.
std::vector<TraceFamily> allFamilies();

/// Returns the name of a family as it appears in results.
std::string familyName(TraceFamily family);

/// Size and seed of a trace.
struct TraceSettings {
  TraceFamily Family = TraceFamily::ZipfDrift;
  std::uint32_t Experts = 128;
  std::uint32_t Layers = 4;
  std::uint64_t Seed = 1;
  /// Exponent of the Zipf law. At 0.8 the first of 128 experts gets 9% of the
  /// tokens, 12 times the mean.
  double Exponent = 0.8;
  /// Intervals in one daily cycle; shortened so that a run sees whole cycles.
  std::uint32_t CycleLength = 144;
};

/// Generates the popularity of each layer's experts, interval by interval.
class PopularityTrace {
public:
  explicit PopularityTrace(TraceSettings settings);

  /// Returns parts that add up to 1, per layer and expert, for the next
  /// interval.
  std::vector<std::vector<double>> next();

private:
  std::vector<double> zipf();
  void drift(std::vector<double> &logs, double step);
  std::vector<double> layerParts(std::uint32_t layer);
  void advance();
  void advanceBursts();

  TraceSettings Settings;
  std::mt19937_64 Random;
  std::uint64_t Interval = 0;
  /// Logarithms of the popularity, per layer.
  std::vector<std::vector<double>> Base;
  /// The second pattern of a daily cycle, or the topic that correlated layers
  /// share.
  std::vector<std::vector<double>> Other;
  /// Added to the logarithm while a burst lasts.
  std::vector<std::vector<double>> Burst;
  std::vector<double> Topic;
};

/// Returns the tokens of each expert in one step of `tokens` tokens: a normal
/// approximation of independent Poisson counts.
std::vector<double> sampledStep(const std::vector<double> &parts, double tokens,
                                std::mt19937_64 &random);

} // namespace bergamot::skewtraces

#endif
