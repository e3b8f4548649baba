#include "libbergamotrouting/warmupramp.h"

#include <algorithm>

namespace bergamot::routing {

WarmupRamp::WarmupRamp(const WarmupSettings &settings)
    : Settings(settings),
      Limit(std::min(settings.ColdLimit, settings.FullLimit)) {}

RampChange WarmupRamp::addReport(const LoadReport &report) {
  if (report.BackEnd < BackEnd)
    return RampChange::None;
  if (report.BackEnd > BackEnd) {
    BackEnd = report.BackEnd;
    reset();
    return RampChange::NewIncarnation;
  }
  if (!report.Cold)
    return RampChange::None;
  reset();
  return RampChange::ColdReported;
}

RampChange WarmupRamp::addResponse(std::uint64_t epoch, Duration firstToken,
                                   bool inTime, bool busy) {
  if (epoch != Epoch)
    return RampChange::None;
  if (firstToken > Settings.FirstTokenBound) {
    if (++ConsecutiveSlow < Settings.SlowThreshold)
      return RampChange::None;
    reset();
    return RampChange::SlowTokens;
  }
  ConsecutiveSlow = 0;
  if (!inTime || !busy || isWarm())
    return RampChange::None;
  Limit =
      std::min<double>(Limit + Settings.GrowthPerResponse, Settings.FullLimit);
  return RampChange::Grown;
}

void WarmupRamp::reset() {
  Limit = std::min(Settings.ColdLimit, Settings.FullLimit);
  ConsecutiveSlow = 0;
  ++Epoch;
}

} // namespace bergamot::routing
