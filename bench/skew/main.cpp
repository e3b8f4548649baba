#include "libbergamotexperts/initialplacement.h"
#include "simulation.h"
#include "skewplot.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <optional>
#include <utility>

DEFINE_string(svg, "", "file for the plot of skew over time at 128 ranks");
DEFINE_uint64(seed, 20240611, "seed of the traces");
DEFINE_uint32(intervals, 300, "intervals of 10 s per run");
DEFINE_uint32(ranks, 0, "only this number of ranks; 0 means 8, 32 and 128");
DEFINE_double(window, 1, "seconds per window of counts and per decision");
DEFINE_double(budget, 0.5, "part of the store's rate used by one plan");
DEFINE_double(min_drop, 0.01, "least drop of the skew for a new split");
DEFINE_double(tokens, 8192, "expert tokens per rank, layer and step");
DEFINE_bool(held_out, true, "also run the family kept out while tuning");

namespace {

using namespace bergamot;
using skew::Method;
using skew::RunResult;

constexpr double SkewBound = 1.05;
constexpr double PlanBoundMs = 5;
constexpr auto HeldOut = skewtraces::TraceFamily::CorrelatedLayers;

void print(const std::string &name, double value, const char *unit,
           std::optional<double> bound, std::optional<double> naive) {
  nlohmann::ordered_json line;
  line["name"] = name;
  line["value"] = value;
  line["unit"] = unit;
  line["bound"] = bound ? nlohmann::ordered_json(*bound) : nullptr;
  line["naive"] = naive ? nlohmann::ordered_json(*naive) : nullptr;
  std::cout << line.dump() << std::endl;
}

std::vector<RunResult> runAll(skewtraces::TraceFamily family,
                              std::uint32_t ranks) {
  std::vector<RunResult> runs;
  for (const Method method :
       {Method::Static, Method::FromScratch, Method::Planner}) {
    skew::RunSettings settings;
    settings.Chooser = method;
    settings.Trace.Family = family;
    settings.Trace.Seed = FLAGS_seed + static_cast<std::uint64_t>(family);
    settings.Ranks = ranks;
    settings.Intervals = FLAGS_intervals;
    settings.TokensPerRank = FLAGS_tokens;
    settings.WindowSeconds = FLAGS_window;
    settings.BudgetPart = FLAGS_budget;
    settings.Planner.MinAdjustmentDrop = FLAGS_min_drop;
    runs.push_back(skew::runTrace(settings));
  }
  return runs;
}

void printRuns(const std::string &suffix, std::uint32_t ranks,
               const std::vector<RunResult> &runs) {
  const RunResult &fixed = runs[0];
  const RunResult &scratch = runs[1];
  const RunResult &planner = runs[2];
  std::optional<double> bound;
  if (ranks == 128)
    bound = SkewBound;
  print("skew_mean_vs_static" + suffix, planner.MeanSkew, "ratio", bound,
        fixed.MeanSkew);
  print("skew_mean_vs_scratch" + suffix, planner.MeanSkew, "ratio", bound,
        scratch.MeanSkew);
  print("skew_p99_vs_static" + suffix, planner.P99Skew, "ratio", {},
        fixed.P99Skew);
  print("skew_p99_vs_scratch" + suffix, planner.P99Skew, "ratio", {},
        scratch.P99Skew);
  print("skew_expected_vs_scratch" + suffix, planner.MeanExpectedSkew, "ratio",
        {}, scratch.MeanExpectedSkew);
  print("moved_bytes" + suffix, planner.Bytes, "byte", scratch.Bytes / 5,
        scratch.Bytes);
  print("steps_slowed" + suffix, planner.SlowedPart, "part", {},
        scratch.SlowedPart);
  print("map_bytes_per_layer" + suffix, planner.MapBytesPerSecond, "byte/s", {},
        scratch.MapBytesPerSecond);
  print("switches" + suffix, planner.Switches, "count", {}, scratch.Switches);
  print("switches_with_moves" + suffix, planner.MovingSwitches, "count", {},
        scratch.MovingSwitches);
  print("plan_median" + suffix, planner.PlanMedianMs, "ms", PlanBoundMs, {});
  print("plan_p99" + suffix, planner.PlanP99Ms, "ms", PlanBoundMs, {});
}

/// Median time of a plan after the whole popularity changed, the worst case.
double planMsAfterShift(std::uint32_t ranks, std::uint32_t expertCount) {
  std::vector<double> times;
  for (std::uint64_t seed = 1; seed <= 9; ++seed) {
    skewtraces::TraceSettings trace;
    trace.Experts = expertCount;
    trace.Layers = 2;
    trace.Seed = FLAGS_seed + seed;
    auto parts = skewtraces::PopularityTrace(trace).next();
    const std::uint32_t slots = (expertCount + ranks - 1) / ranks + 2;
    std::vector<experts::RankInfo> infos;
    for (std::uint32_t r = 0; r < ranks; ++r)
      infos.push_back({1, r / 8, r * 3 / ranks});
    const auto map = experts::initialMap(infos, slots, parts[0], 1);
    experts::PopularityEstimate estimate;
    estimate.TokensPerStep = parts[1];
    estimate.Coverage = 1;
    estimate.Lifetime = std::chrono::seconds(300);
    experts::PlannerSettings settings;
    settings.Search.MinReplicas = 1;
    experts::PlacementPlanner planner(settings);
    const auto start = std::chrono::steady_clock::now();
    planner.plan({{}, &map, &estimate, infos, 1ULL << 40});
    times.push_back(std::chrono::duration<double, std::milli>(
                        std::chrono::steady_clock::now() - start)
                        .count());
  }
  std::ranges::sort(times);
  return times[times.size() / 2];
}

void printGrowth() {
  for (const auto &[ranks, count] : {std::pair{32U, 128U},
                                     {64U, 128U},
                                     {128U, 128U},
                                     {256U, 128U},
                                     {128U, 64U},
                                     {128U, 256U},
                                     {256U, 256U}}) {
    std::optional<double> bound;
    if (ranks == 128 && count == 128)
      bound = PlanBoundMs;
    print("plan_after_shift." + std::to_string(ranks) + "x" +
              std::to_string(count),
          planMsAfterShift(ranks, count), "ms", bound, {});
  }
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  print("seed", static_cast<double>(FLAGS_seed), "", {}, {});
  printGrowth();
  std::vector<std::uint32_t> sizes = {8, 32, 128};
  if (FLAGS_ranks != 0)
    sizes = {FLAGS_ranks};
  std::vector<skew::PlotPanel> panels;
  for (const auto ranks : sizes)
    for (const auto family : skewtraces::allFamilies()) {
      if (family == HeldOut && !FLAGS_held_out)
        continue;
      const std::string name = skewtraces::familyName(family) +
                               (family == HeldOut ? "_held_out" : "");
      auto runs = runAll(family, ranks);
      printRuns("." + name + "." + std::to_string(ranks), ranks, runs);
      if (ranks == sizes.back())
        panels.push_back(
            {name + ", " + std::to_string(ranks) + " ranks", std::move(runs)});
    }
  if (!FLAGS_svg.empty())
    std::ofstream(FLAGS_svg) << skew::skewPlot(panels);
  return 0;
}
