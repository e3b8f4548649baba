#ifndef BERGAMOT_SIDECAR_LOADESTIMATOR_H
#define BERGAMOT_SIDECAR_LOADESTIMATOR_H

#include "libbergamotexperts/groupplanner.h"
#include "sidecar/rankclient.h"

#include <cstdint>

namespace bergamot::sidecar {

/// Estimates the current popularity of experts from the deltas of the ranks'
/// counters. Popularity is stable for seconds and then jumps, so the estimate
/// averages over recent counts, and restarts when the newest counts deviate
/// from it.
class LoadEstimator {
public:
  /// `decay` is the factor by which previous loads are multiplied each time new
  /// counts are merged.
  LoadEstimator(std::uint32_t sets, std::uint32_t expertsPerSet, double decay)
      : Decay(decay), Loads(sets, std::vector<double>(expertsPerSet, 0)),
        PendingLoads(Loads) {}

  /// Starts from the popularity that a previous coordinator has recorded, which
  /// must have the same dimensions. New counts soon outweigh it.
  void setInitial(const experts::ExpertLoads &loads);
  /// Adds the counts of one or several ranks to the pending counts. Ignores
  /// counts of a different size.
  void addCounts(const CountDeltas &counts);
  /// Merges the pending counts into the estimate, unless they are still too few
  /// to detect a jump. Returns whether popularity has jumped, judged by the
  /// skew of `map` under the pending counts compared with that under the
  /// estimate.
  bool mergePending(const experts::GroupMap &map);

  const experts::ExpertLoads &loads() const { return Loads; }
  /// Returns the number of expert selections in the estimate, after decay.
  double selections() const { return Selections; }

private:
  double Decay;
  experts::ExpertLoads Loads;
  experts::ExpertLoads PendingLoads;
  double Selections = 0;
  double PendingSelections = 0;
};

} // namespace bergamot::sidecar

#endif
