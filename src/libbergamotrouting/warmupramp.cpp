#include "libbergamotrouting/warmupramp.h"

#include <algorithm>

namespace bergamot::routing {

WarmupRamp::WarmupRamp(const WarmupSettings &settings)
    : Settings(settings),
      Limit(std::min(settings.ColdLimit, settings.FullLimit)) {}

RampChange WarmupRamp::addReport(const LoadReport &report) {
  if (report.BackEndIncarnation < BackEndIncarnation)
    return RampChange::None;
  if (report.BackEndIncarnation > BackEndIncarnation) {
    BackEndIncarnation = report.BackEndIncarnation;
    reset();
    return RampChange::NewIncarnation;
  }
  if (!report.Cold)
    return RampChange::None;
  reset();
  return RampChange::ColdReported;
}

RampChange WarmupRamp::addResponse(std::uint64_t epoch,
                                   Duration timeToFirstToken, bool inTime,
                                   bool admittedWhenBusy) {
  if (epoch != Epoch)
    return RampChange::None;
  if (timeToFirstToken > Settings.MaxTimeToFirstToken) {
    if (++ConsecutiveSlow < Settings.SlowThreshold)
      return RampChange::None;
    reset();
    return RampChange::SlowFirstTokens;
  }
  ConsecutiveSlow = 0;
  if (!inTime || !admittedWhenBusy || isWarm())
    return RampChange::None;
  Limit =
      std::min<double>(Limit + Settings.SlotsPerResponse, Settings.FullLimit);
  return RampChange::Grown;
}

void WarmupRamp::reset() {
  Limit = std::min(Settings.ColdLimit, Settings.FullLimit);
  ConsecutiveSlow = 0;
  ++Epoch;
}

} // namespace bergamot::routing
