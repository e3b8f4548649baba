#include "libbergamotgateway/targethealth.h"

#include <cmath>

namespace bergamot::gateway {

using base::TimePoint;

void TargetHealth::addResult(const std::string &target, bool failed,
                             TimePoint now) {
  const auto it = ByTarget.find(target);
  if (it == ByTarget.end()) {
    if (failed)
      ByTarget[target] = {Settings.SmoothingFactor, now, {}};
    return;
  }
  State &state = it->second;
  const double previous = decayedPenalty(state, now);
  state.Penalty =
      previous + Settings.SmoothingFactor * ((failed ? 1.0 : 0.0) - previous);
  state.UpdatedAt = now;
}

double TargetHealth::penalty(const std::string &target, TimePoint now) const {
  const auto it = ByTarget.find(target);
  return it == ByTarget.end() ? 0 : decayedPenalty(it->second, now);
}

void TargetHealth::markUnresponsive(const std::string &target,
                                    TimePoint until) {
  ByTarget[target].UnresponsiveUntil = until;
}

bool TargetHealth::isUnresponsive(const std::string &target,
                                  TimePoint now) const {
  const auto it = ByTarget.find(target);
  return it != ByTarget.end() && now < it->second.UnresponsiveUntil;
}

double TargetHealth::decayedPenalty(const State &state, TimePoint now) const {
  const std::chrono::duration<double> age = now - state.UpdatedAt;
  const std::chrono::duration<double> halfLife = Settings.HalfLife;
  return state.Penalty * std::exp2(-age.count() / halfLife.count());
}

} // namespace bergamot::gateway
