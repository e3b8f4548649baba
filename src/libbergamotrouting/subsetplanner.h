#ifndef BERGAMOT_LIBBERGAMOTROUTING_SUBSETPLANNER_H
#define BERGAMOT_LIBBERGAMOTROUTING_SUBSETPLANNER_H

#include "libbergamotrouting/routingtypes.h"

#include <map>
#include <span>
#include <vector>

namespace bergamot::routing {

/// A target with its capacity relative to the others.
struct WeightedTarget {
  TargetId Id;
  double Weight = 1;
};

/// Settings of a SubsetPlanner.
struct SubsetSettings {
  /// Minimum number of targets in the subset of an entry.
  std::size_t MinSubsetSize = 20;
  /// On average, a target has at least this many entries. With fewer, the loss
  /// of one entry would leave a target idle.
  std::size_t MinEntriesPerTarget = 3;
};

/// Targets of each entry.
using SubsetPlan = std::map<VmId, std::vector<TargetId>>;

/// Assigns a subset of a service's targets to each entry. The plan depends only
/// on the sets of entries and targets, so all processes that agree on them
/// compute the same plan. Pairs of an entry and a target are assigned in the
/// order of their weighted rendezvous scores up to a maximum number of pairs
/// for each entry and for each target, which keeps the load even and moves few
/// pairs when the sets change.
class SubsetPlanner {
public:
  explicit SubsetPlanner(const SubsetSettings &settings);

  SubsetPlan plan(std::span<const VmId> entries,
                  std::span<const WeightedTarget> targets) const;

private:
  SubsetSettings Settings;
};

} // namespace bergamot::routing

#endif
