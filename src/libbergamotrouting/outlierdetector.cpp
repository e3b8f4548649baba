#include "libbergamotrouting/outlierdetector.h"

#include <algorithm>

namespace bergamot::routing {

namespace {

constexpr std::size_t EjectableDivisor = 3;

} // namespace

OutlierDetector::OutlierDetector(const OutlierSettings &settings)
    : Settings(settings) {}

std::vector<EjectionChange>
OutlierDetector::setTargets(const std::vector<TargetId> &targets) {
  std::map<TargetId, State> kept;
  for (const auto &target : targets) {
    const auto it = States.find(target);
    kept.emplace(target, it == States.end() ? State{} : it->second);
  }
  States = std::move(kept);
  EjectedCount = static_cast<std::size_t>(
      std::count_if(States.begin(), States.end(),
                    [](const auto &it) { return it.second.Ejected; }));
  std::vector<EjectionChange> changes;
  while (EjectedCount > States.size() / EjectableDivisor) {
    auto latest = States.end();
    for (auto it = States.begin(); it != States.end(); ++it)
      if (it->second.Ejected &&
          (latest == States.end() || it->second.Until > latest->second.Until))
        latest = it;
    takeBack(latest->second);
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
    state.Times = 0;
    return false;
  }
  ++state.Failures;
  if (state.Failures < Settings.FailuresInRow ||
      (EjectedCount + 1) * EjectableDivisor > States.size())
    return false;
  state.Times = std::min(state.Times + 1, Settings.MostTimes);
  state.Ejected = true;
  state.Until = now + Settings.EjectionTime * state.Times;
  ++EjectedCount;
  return true;
}

std::vector<EjectionChange> OutlierDetector::removeExpired(TimePoint now) {
  std::vector<EjectionChange> changes;
  for (auto &[target, state] : States)
    if (state.Ejected && state.Until <= now) {
      takeBack(state);
      changes.push_back({target, false});
    }
  return changes;
}

void OutlierDetector::takeBack(State &state) {
  state.Ejected = false;
  state.Failures = Settings.FailuresInRow - 1;
  --EjectedCount;
}

} // namespace bergamot::routing
