#ifndef BERGAMOT_SIDECAR_LOADESTIMATOR_H
#define BERGAMOT_SIDECAR_LOADESTIMATOR_H

#include "libbergamotexperts/groupplanner.h"
#include "sidecar/rankclient.h"

#include <cstdint>

namespace bergamot::sidecar {

/// Estimates the current popularity of experts from the deltas of the ranks'
/// counters. Popularity is stable for seconds and then jumps: the estimate
/// averages over recent updates, and restarts when the newest update deviates
/// from it.
class LoadEstimator {
public:
  /// `decay` is the weight that the previous loads keep at each update.
  LoadEstimator(std::uint32_t sets, std::uint32_t experts, double decay)
      : Decay(decay), Loads(sets, std::vector<double>(experts, 0)),
        PendingLoads(Loads) {}

  /// Starts from the popularity that a previous coordinator has recorded, which
  /// must have the same dimensions. New counts soon outweigh it.
  void setInitial(const experts::ExpertLoads &loads);
  /// Adds the counts of a poll. Ignores counts of a different size.
  void addCounts(const CountDeltas &counts);
  /// Merges the counts added since the last update into the estimate. Returns
  /// whether popularity has jumped, judged by the skew of `map`.
  bool finishUpdate(const experts::GroupMap &map);

  const experts::ExpertLoads &loads() const { return Loads; }
  /// Returns the weighted number of expert selections in the estimate.
  double weight() const { return Weight; }

private:
  double Decay;
  experts::ExpertLoads Loads;
  experts::ExpertLoads PendingLoads;
  double Weight = 0;
  double PendingWeight = 0;
};

} // namespace bergamot::sidecar

#endif
