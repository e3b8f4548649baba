#include "libbergamotgateway/targethealth.h"

#include <cmath>

namespace bergamot::gateway {

using base::TimePoint;

void TargetHealth::addResult(const std::string &target, bool failed,
                             TimePoint now) {
  const auto it = ByTarget.find(target);
  if (it == ByTarget.end()) {
    if (failed)
      ByTarget[target] = {Settings.Gain, now, {}};
    return;
  }
  State &state = it->second;
  const double old = decayed(state, now);
  state.Penalty = old + Settings.Gain * ((failed ? 1.0 : 0.0) - old);
  state.At = now;
}

double TargetHealth::penalty(const std::string &target, TimePoint now) const {
  const auto it = ByTarget.find(target);
  return it == ByTarget.end() ? 0 : decayed(it->second, now);
}

void TargetHealth::setSilent(const std::string &target, TimePoint until) {
  ByTarget[target].SilentUntil = until;
}

bool TargetHealth::isSilent(const std::string &target, TimePoint now) const {
  const auto it = ByTarget.find(target);
  return it != ByTarget.end() && now < it->second.SilentUntil;
}

double TargetHealth::decayed(const State &state, TimePoint now) const {
  const std::chrono::duration<double> age = now - state.At;
  const std::chrono::duration<double> halfLife = Settings.HalfLife;
  return state.Penalty * std::exp2(-age.count() / halfLife.count());
}

} // namespace bergamot::gateway
