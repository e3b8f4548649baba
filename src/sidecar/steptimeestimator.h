#ifndef BERGAMOT_SIDECAR_STEPTIMEESTIMATOR_H
#define BERGAMOT_SIDECAR_STEPTIMEESTIMATOR_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotexperts/rankstate.h"

#include <cstdint>

namespace bergamot::sidecar {

/// Estimates how long a group's steps take from what its ranks report.
class StepClock {
public:
  /// Takes a report, in any order.
  void addReport(const experts::RankState &state, base::TimePoint now);
  /// Returns the time of a step; 0 if it isn't known yet.
  base::Duration stepTime() const { return StepTime; }

private:
  std::uint64_t Epoch = 0;
  std::uint64_t Step = 0;
  base::TimePoint At;
  base::Duration StepTime{0};
};

} // namespace bergamot::sidecar

#endif
