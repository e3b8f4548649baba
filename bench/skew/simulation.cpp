#include "simulation.h"

#include "libbergamotexperts/initialplacement.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace bergamot::skew {

namespace {

// Length of one interval of the trace.
constexpr double TraceSeconds = 10;
// Time from the end of a window until a map without transfers is in force:
// reports, planning, staging and a switch a few steps ahead.
constexpr double ActivationSeconds = 0.5;
// A changed slot in a message: slot, expert and weight in two bytes each.
constexpr double BytesPerChange = 6;

double percentile(std::vector<double> values, double part) {
  if (values.empty())
    return 0;
  std::ranges::sort(values);
  const auto index = static_cast<std::size_t>(
      std::ceil(part * static_cast<double>(values.size() - 1)));
  return values[index];
}

class Run {
public:
  explicit Run(const RunSettings &settings);
  RunResult result();

private:
  void reportCounts(std::uint64_t window);
  void choose(std::uint64_t window);
  void chooseLayer(std::size_t layer, base::TimePoint now);
  void sampleSteps(std::uint64_t window);
  double skew(const std::vector<std::vector<double>> &tokens) const;

  base::TimePoint timeOf(std::uint64_t window) const {
    return base::TimePoint(WindowLength * window);
  }

  RunSettings Settings;
  base::Duration WindowLength;
  std::uint32_t StepsPerWindow;
  std::uint64_t WindowsPerInterval;
  std::uint32_t SlotsPerRank;
  skewtraces::PopularityTrace Trace;
  std::mt19937_64 Random;
  std::vector<experts::RankInfo> Ranks;
  std::vector<experts::PlacementPlanner> Planners;
  std::vector<experts::PopularityEstimator> Estimators;
  std::vector<experts::ExpertMap> Maps;
  std::vector<std::vector<double>> Parts;
  std::vector<std::vector<experts::CountReport>> Late;
  std::vector<experts::ExpertMap> Pending;
  std::vector<double> LastSkew;
  double PendingBytes = 0;
  double ReadySample = 0;
  bool HasPending = false;
  bool HasChange = false;
  std::vector<double> Skews;
  std::vector<double> Expected;
  std::vector<double> PlanMs;
  RunResult Result;
};

Run::Run(const RunSettings &settings)
    : Settings(settings), WindowLength(std::chrono::milliseconds(
                              std::llround(settings.WindowSeconds * 1000))),
      StepsPerWindow(static_cast<std::uint32_t>(std::lround(
          settings.WindowSeconds * settings.Planner.StepsPerSecond))),
      WindowsPerInterval(static_cast<std::uint64_t>(
          std::llround(TraceSeconds / settings.WindowSeconds))),
      SlotsPerRank((settings.Trace.Experts + settings.Ranks - 1) /
                       settings.Ranks +
                   settings.SpareSlots),
      Trace(settings.Trace), Random(settings.Trace.Seed + 17) {
  const bool twoEach =
      SlotsPerRank * Settings.Ranks >= 2 * Settings.Trace.Experts;
  Settings.Planner.Search.MinReplicas = twoEach ? 2 : 1;
  for (std::uint32_t r = 0; r < Settings.Ranks; ++r)
    Ranks.push_back({10e6, r / 8, r * 3 / Settings.Ranks});
  Parts = Trace.next();
  experts::EstimatorSettings estimator;
  estimator.Experts = Settings.Trace.Experts;
  estimator.Ranks = Settings.Ranks;
  estimator.WindowLength = WindowLength;
  for (const auto &parts : Parts) {
    std::vector<double> tokens;
    tokens.reserve(parts.size());
    for (const double part : parts)
      tokens.push_back(part * Settings.TokensPerRank * Settings.Ranks);
    Maps.push_back(experts::initialMap(Ranks, SlotsPerRank, tokens,
                                       Settings.Planner.Search.MinReplicas));
    Planners.emplace_back(Settings.Planner);
    Estimators.emplace_back(estimator);
    Late.emplace_back();
    LastSkew.push_back(1);
  }
}

void Run::reportCounts(std::uint64_t window) {
  if (Settings.Chooser == Method::Static)
    return;
  std::uniform_real_distribution<double> uniform;
  const auto now = timeOf(window + 1);
  for (std::size_t layer = 0; layer < Maps.size(); ++layer) {
    for (const auto &report : Late[layer])
      Estimators[layer].addReport(report);
    Late[layer].clear();
    for (std::uint32_t r = 0; r < Settings.Ranks; ++r) {
      const auto counts = skewtraces::sampledStep(
          Parts[layer], Settings.TokensPerRank * StepsPerWindow, Random);
      experts::CountReport report{r, window, StepsPerWindow, {}};
      for (const double count : counts)
        report.Tokens.push_back(static_cast<std::uint32_t>(count));
      const double fate = uniform(Random);
      if (fate < 0.10)
        Late[layer].push_back(std::move(report));
      else if (fate > 0.05 + 0.10)
        Estimators[layer].addReport(report);
    }
    Estimators[layer].setNewestWindow(window, now);
  }
}

void Run::chooseLayer(std::size_t layer, base::TimePoint now) {
  if (Estimators[layer].estimate().Coverage <= 0)
    return;
  if (Settings.Chooser == Method::FromScratch) {
    Pending[layer] = experts::initialMap(
        Ranks, SlotsPerRank, Estimators[layer].estimate().TokensPerStep,
        Settings.Planner.Search.MinReplicas);
  } else {
    experts::PlanRequest request;
    request.Now = now;
    request.Current = &Maps[layer];
    request.Popularity = &Estimators[layer].estimate();
    request.Ranks = Ranks;
    request.BudgetBytes = static_cast<std::uint64_t>(
        std::max(0.0, Settings.Planner.StoreBytesPerSecond *
                              Settings.WindowSeconds * Settings.BudgetPart -
                          PendingBytes));
    const auto start = std::chrono::steady_clock::now();
    auto plan = Planners[layer].plan(request);
    PlanMs.push_back(std::chrono::duration<double, std::milli>(
                         std::chrono::steady_clock::now() - start)
                         .count());
    LastSkew[layer] = plan.Record.SkewAdjusted;
    if (plan.Record.Kind == experts::PlanKind::Wait)
      return;
    Pending[layer] = std::move(plan.Map);
  }
  HasChange = true;
  double changes = 0;
  for (std::size_t i = 0; i < Maps[layer].slots().size(); ++i)
    changes += Maps[layer].slots()[i] != Pending[layer].slots()[i] ? 1 : 0;
  Result.MapBytesPerSecond +=
      changes * BytesPerChange /
      (static_cast<double>(Maps.size()) * TraceSeconds * Settings.Intervals);
  const auto moves = experts::transfersBetween(Maps[layer], Pending[layer]);
  PendingBytes +=
      static_cast<double>(moves.size() * Settings.Planner.BytesPerExpert);
}

void Run::choose(std::uint64_t window) {
  Result.BytesSeries.push_back(0);
  if (Settings.Chooser == Method::Static || HasPending)
    return;
  Pending = Maps;
  PendingBytes = 0;
  HasChange = false;
  std::vector<std::size_t> order(Maps.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  // The layer with the largest skew uses the store first.
  std::ranges::stable_sort(
      order, [&](auto a, auto b) { return LastSkew[a] > LastSkew[b]; });
  for (const auto layer : order)
    chooseLayer(layer, timeOf(window));
  HasPending = HasChange;
  const double transfer = PendingBytes / Settings.Planner.StoreBytesPerSecond;
  const double wait = std::max(ActivationSeconds, transfer);
  ReadySample = (static_cast<double>(window) + wait / Settings.WindowSeconds) *
                Settings.Samples;
  Result.Bytes += PendingBytes;
  Result.BytesSeries.back() = PendingBytes;
  Result.SlowedPart += transfer / (TraceSeconds * Settings.Intervals);
}

double Run::skew(const std::vector<std::vector<double>> &tokens) const {
  double longest = 0;
  double mean = 0;
  for (std::size_t layer = 0; layer < Maps.size(); ++layer) {
    double slowest = 0;
    for (std::uint32_t r = 0; r < Settings.Ranks; ++r) {
      double load = 0;
      for (const auto &slot : Maps[layer].slots(r))
        if (slot.Expert != experts::NoExpert)
          load += tokens[layer][slot.Expert] * slot.Share / experts::ShareScale;
      slowest = std::max(slowest, load / Ranks[r].Speed);
      mean += load / Ranks[r].Speed / Settings.Ranks;
    }
    longest += slowest;
  }
  return longest / mean;
}

void Run::sampleSteps(std::uint64_t window) {
  double sum = 0;
  for (std::uint32_t i = 0; i < Settings.Samples; ++i) {
    const auto sample = window * Settings.Samples + i;
    if (HasPending && static_cast<double>(sample) >= ReadySample) {
      Result.Switches += 1;
      Result.MovingSwitches += PendingBytes > 0 ? 1 : 0;
      Maps = Pending;
      HasPending = false;
    }
    std::vector<std::vector<double>> tokens;
    for (const auto &parts : Parts)
      tokens.push_back(skewtraces::sampledStep(
          parts, Settings.TokensPerRank * Settings.Ranks, Random));
    Skews.push_back(skew(tokens));
    Expected.push_back(skew(Parts));
    sum += Skews.back();
  }
  Result.SkewSeries.push_back(sum / Settings.Samples);
}

RunResult Run::result() {
  const std::uint64_t count = Settings.Intervals * WindowsPerInterval;
  for (std::uint64_t window = 0; window < count; ++window) {
    choose(window);
    sampleSteps(window);
    reportCounts(window);
    if ((window + 1) % WindowsPerInterval == 0)
      Parts = Trace.next();
  }
  const auto mean = [](const std::vector<double> &values) {
    return std::accumulate(values.begin(), values.end(), 0.0) /
           static_cast<double>(values.size());
  };
  Result.MeanSkew = mean(Skews);
  Result.MeanExpectedSkew = mean(Expected);
  Result.P99Skew = percentile(Skews, 0.99);
  Result.PlanMedianMs = percentile(PlanMs, 0.5);
  Result.PlanP99Ms = percentile(PlanMs, 0.99);
  return Result;
}

} // namespace

RunResult runTrace(const RunSettings &settings) {
  return Run(settings).result();
}

} // namespace bergamot::skew
