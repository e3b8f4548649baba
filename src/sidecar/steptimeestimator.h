#ifndef BERGAMOT_SIDECAR_STEPTIMEESTIMATOR_H
#define BERGAMOT_SIDECAR_STEPTIMEESTIMATOR_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotexperts/rankstate.h"

#include <cstdint>

namespace bergamot::sidecar {

/// Estimates the duration of a group's steps from the reports of its ranks.
class StepTimeEstimator {
public:
  /// Adds a report. Reports may arrive in any order; those that show no new
  /// step are ignored.
  void addReport(const experts::RankState &state, base::TimePoint now);
  /// Returns the duration of a step; 0 if unknown.
  base::Duration stepTime() const { return StepTime; }

private:
  std::uint64_t Epoch = 0;
  std::uint64_t Step = 0;
  base::TimePoint LastReportAt;
  base::Duration StepTime{0};
};

} // namespace bergamot::sidecar

#endif
