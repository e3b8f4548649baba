#include "sidecar/steptimeestimator.h"

namespace bergamot::sidecar {

namespace {

/// Weight of the newest sample in the moving average.
constexpr double SmoothingFactor = 0.3;
/// A longer gap between steps means that the group was idle.
constexpr std::chrono::milliseconds MaxStepGap{1000};

} // namespace

void StepTimeEstimator::addReport(const experts::RankState &state,
                                  base::TimePoint now) {
  if (state.Epoch < Epoch || (state.Epoch == Epoch && state.Step <= Step))
    return;
  const base::Duration elapsed = now - LastReportAt;
  if (state.Epoch == Epoch && elapsed <= MaxStepGap) {
    const auto steps = static_cast<base::Duration::rep>(state.Step - Step);
    const base::Duration sample = elapsed / steps;
    StepTime =
        StepTime == base::Duration::zero()
            ? sample
            : std::chrono::duration_cast<base::Duration>(
                  (1 - SmoothingFactor) * StepTime + SmoothingFactor * sample);
  }
  Epoch = state.Epoch;
  Step = state.Step;
  LastReportAt = now;
}

} // namespace bergamot::sidecar
