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
  /// Targets in the subset of an entry, at least.
  std::size_t SubsetSize = 20;
  /// Subsets that an average target is in, at least. With fewer, the loss of
  /// one entry would idle a target.
  std::size_t EntriesPerTarget = 3;
};

/// Targets of each entry.
using SubsetPlan = std::map<VmId, std::vector<TargetId>>;

/// Divides the targets of a service over the entries. The result depends on
/// the sets of entries and targets only, so all daemons that agree on them
/// come to the same plan. Pairs are taken in the order of their weighted
/// rendezvous scores up to a quota per entry and target, which keeps the load
/// even and moves few pairs when the sets change.
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
