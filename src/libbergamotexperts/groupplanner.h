#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_GROUPPLANNER_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_GROUPPLANNER_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotexperts/rankstate.h"

#include <cstdint>
#include <vector>

namespace bergamot::experts {

/// Tokens that chose each expert lately, by set.
using ExpertLoads = std::vector<std::vector<double>>;

/// What a rank can hold and copy.
struct GroupPlanLimits {
  std::uint32_t SlotsPerRank = 0;
  /// New experts per rank and set in one change.
  std::uint32_t MaxNewPerSet = 0;
  /// New experts per rank in one change, over all sets; bounds the time of
  /// copying, in which passes are slower.
  std::uint32_t MaxNewPerRank = 1;
  /// Time that each rank's work takes against that of a sound one; all 1 if
  /// empty. Load pattern: as all ranks step together, one slow rank slows its
  /// whole group, so its experts' tokens go to the others.
  std::vector<double> RankPace;
  /// A placement is added only if it lowers the sum of the sets' skews by
  /// this much, see minCopyGain().
  double MinGain = 0.01;
};

/// A map with its predicted effect. A set's skew is the time of its most
/// loaded rank against the mean load; the group's is the mean over its sets, by
/// which the expert part of a step's time grows.
struct GroupPlan {
  GroupMap Map;
  double SkewBefore = 1;
  double SkewAfter = 1;
  /// Experts to copy, over all ranks.
  std::uint32_t Copies = 0;
  /// Experts to copy at the rank that copies most.
  std::uint32_t MaxCopiesPerRank = 0;
};

/// Plans the next map of a group whose ranks share the tokens of an expert
/// evenly among its holders. Changes the present map by single placements,
/// each the best one for the ranks that are the most loaded, since every
/// copied expert costs time and popularity soon changes again.
GroupPlan planGroup(const GroupMap &current, const ExpertLoads &loads,
                    const GroupPlanLimits &limits);

/// Returns how many experts a rank may copy in one change, at least 1.
/// `copyTime` is the time for one; 0 if it isn't known. Load pattern:
/// popularity jumps every four seconds, and passes are slower while experts are
/// copied.
std::uint32_t maxCopiesPerChange(base::Duration copyTime);

/// Returns how much a copy has to gain, see GroupPlanLimits::MinGain. Large
/// experts take the ranks' links and slow their passes for longer, and
/// popularity changes again before a small gain has paid for that.
double minCopyGain(base::Duration copyTime);

/// Returns the skew of a map under the loads, see GroupPlan and RankPace.
double groupSkew(const GroupMap &map, const ExpertLoads &loads,
                 const std::vector<double> &rankPace = {});

} // namespace bergamot::experts

#endif
