#include "libbergamotrouting/outlierdetector.h"

#include <algorithm>

namespace bergamot::routing {

namespace {

constexpr std::size_t MaxEjectedDivisor = 3;

} // namespace

OutlierDetector::OutlierDetector(const OutlierSettings &settings)
    : Settings(settings) {}

std::vector<EjectionChange>
OutlierDetector::setTargets(const std::vector<TargetId> &targets) {
  std::map<TargetId, State> newStates;
  for (const auto &target : targets) {
    const auto it = States.find(target);
    newStates.emplace(target, it == States.end() ? State{} : it->second);
  }
  States = std::move(newStates);
  EjectedCount = static_cast<std::size_t>(
      std::count_if(States.begin(), States.end(),
                    [](const auto &it) { return it.second.Ejected; }));
  std::vector<EjectionChange> changes;
  while (EjectedCount > States.size() / MaxEjectedDivisor) {
    auto latest = States.end();
    for (auto it = States.begin(); it != States.end(); ++it)
      if (it->second.Ejected &&
          (latest == States.end() ||
           it->second.EjectedUntil > latest->second.EjectedUntil))
        latest = it;
    uneject(latest->second);
    changes.push_back({latest->first, false});
  }
  return changes;
}

bool OutlierDetector::addResult(const TargetId &target, bool failed,
                                TimePoint now) {
  const auto it = States.find(target);
  if (it == States.end())
    return false;
  State &state = it->second;
  if (state.Ejected)
    return true;
  if (!failed) {
    state.Failures = 0;
    state.EjectionMultiplier = 0;
    return false;
  }
  ++state.Failures;
  if (state.Failures < Settings.ConsecutiveFailures ||
      (EjectedCount + 1) * MaxEjectedDivisor > States.size())
    return false;
  state.EjectionMultiplier =
      std::min(state.EjectionMultiplier + 1, Settings.MaxEjectionMultiplier);
  state.Ejected = true;
  state.EjectedUntil =
      now + Settings.BaseEjectionTime * state.EjectionMultiplier;
  ++EjectedCount;
  return true;
}

std::vector<EjectionChange> OutlierDetector::unejectExpired(TimePoint now) {
  std::vector<EjectionChange> changes;
  for (auto &[target, state] : States)
    if (state.Ejected && state.EjectedUntil <= now) {
      uneject(state);
      changes.push_back({target, false});
    }
  return changes;
}

void OutlierDetector::uneject(State &state) {
  state.Ejected = false;
  state.Failures = Settings.ConsecutiveFailures - 1;
  --EjectedCount;
}

} // namespace bergamot::routing
