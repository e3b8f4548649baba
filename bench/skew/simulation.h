#ifndef BERGAMOT_SKEW_SIMULATION_H
#define BERGAMOT_SKEW_SIMULATION_H

#include "libbergamotexperts/placementplanner.h"
#include "skewtraces/popularitytrace.h"

#include <cstdint>
#include <vector>

namespace bergamot::skew {

/// Who chooses the maps of a run.
enum class Method { Static, FromScratch, Planner };

/// One run: a group of ranks over one trace.
struct RunSettings {
  Method Chooser = Method::Planner;
  skewtraces::TraceSettings Trace;
  std::uint32_t Ranks = 128;
  std::uint32_t SpareSlots = 2;
  /// Intervals of the trace, 10 s each.
  std::uint32_t Intervals = 300;
  /// Length of a window of counts; there is one decision per window.
  double WindowSeconds = 1;
  /// Sampled steps per window; the other steps are like them.
  std::uint32_t Samples = 2;
  /// Expert tokens per rank, layer and step.
  double TokensPerRank = 8192;
  /// Part of the store's rate that one plan may use. Transfers end in the
  /// window in which they were planned.
  double BudgetPart = 0.4;
  experts::PlannerSettings Planner;
};

/// What a run measured.
struct RunResult {
  double MeanSkew = 0;
  double P99Skew = 0;
  /// Skew without the noise of single steps.
  double MeanExpectedSkew = 0;
  double Bytes = 0;
  /// Bytes of changed slots that each rank received, per layer and second:
  /// slot, expert and weight in two bytes each.
  double MapBytesPerSecond = 0;
  /// Part of the steps that ran beside a transfer.
  double SlowedPart = 0;
  std::uint32_t Switches = 0;
  std::uint32_t MovingSwitches = 0;
  /// Planning time of one layer, in milliseconds.
  double PlanMedianMs = 0;
  double PlanP99Ms = 0;
  /// Mean skew and moved bytes, per window.
  std::vector<double> SkewSeries;
  std::vector<double> BytesSeries;
};

/// Runs a trace. Reports of 5% of the ranks are lost and 10% arrive one
/// window late. A new map takes effect 0.5 s after the decision,
/// later if its transfers take longer.
RunResult runTrace(const RunSettings &settings);

} // namespace bergamot::skew

#endif
