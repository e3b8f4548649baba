#ifndef BERGAMOT_SIDECAR_COUNTDELTATRACKER_H
#define BERGAMOT_SIDECAR_COUNTDELTATRACKER_H

#include "libbergamotbase/timetypes.h"
#include "sidecar/rankclient.h"

#include <map>

namespace bergamot::sidecar {

/// Converts an engine's running totals into deltas since each coordinator's
/// previous call. Encoded deltas take an eighth of the bytes (see
/// encodeCounts()); in a group of 64 ranks, totals would saturate the links of
/// the sidecars.
class CountDeltaTracker {
public:
  /// Returns the counts added since the previous call from the coordinator, the
  /// sidecar of rank `coordinatorRank`. Empty on its first call, after a new
  /// epoch (see experts::RankState::Epoch) or a restart of the engine, and
  /// after a gap so long that popularity may have jumped in between.
  CountDeltas takeDeltas(std::uint32_t coordinatorRank, RankCounts totals,
                         base::TimePoint now);

private:
  struct Snapshot {
    RankCounts Totals;
    base::TimePoint TakenAt;
  };

  std::map<std::uint32_t, Snapshot> Snapshots;
};

/// Adds the counts of another rank to `sum`. Ignores counts of a different
/// size.
void addCounts(CountDeltas &sum, const CountDeltas &counts);

} // namespace bergamot::sidecar

#endif
