#include "sidecar/steptimeestimator.h"

namespace bergamot::sidecar {

namespace {

/// Weight of the newest report.
constexpr double NewPart = 0.3;
/// Longer without a new step means that the group stood idle.
constexpr std::chrono::milliseconds MaxPause{1000};

} // namespace

void StepClock::addReport(const experts::RankState &state,
                          base::TimePoint now) {
  if (state.Epoch < Epoch || (state.Epoch == Epoch && state.Step <= Step))
    return;
  const base::Duration elapsed = now - At;
  if (state.Epoch == Epoch && elapsed <= MaxPause) {
    const auto steps = static_cast<base::Duration::rep>(state.Step - Step);
    const base::Duration newest = elapsed / steps;
    StepTime = StepTime == base::Duration::zero()
                   ? newest
                   : std::chrono::duration_cast<base::Duration>(
                         (1 - NewPart) * StepTime + NewPart * newest);
  }
  Epoch = state.Epoch;
  Step = state.Step;
  At = now;
}

} // namespace bergamot::sidecar
