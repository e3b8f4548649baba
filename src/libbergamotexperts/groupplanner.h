#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_GROUPPLANNER_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_GROUPPLANNER_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotexperts/rankstate.h"

#include <cstdint>
#include <vector>

namespace bergamot::experts {

/// Recent tokens routed to each expert, by set (see GroupMap) and expert.
using ExpertLoads = std::vector<std::vector<double>>;

/// Limits and inputs of a plan.
struct GroupPlanLimits {
  std::uint32_t SlotsPerRank = 0;
  /// New experts per rank and set in one change.
  std::uint32_t MaxNewPerSet = 0;
  /// New experts per rank in one change, over all sets. Bounds the copying
  /// time, during which forward passes are slower.
  std::uint32_t MaxNewPerRank = 1;
  /// Slowdown of each rank relative to a healthy one; empty means all 1. Ranks
  /// run in lockstep, so one slow rank slows its whole group; tokens of the
  /// slow rank's experts are therefore moved to other ranks.
  std::vector<double> RankSlowdowns;
  /// Minimum reduction of the sum of the sets' skews for a copy or removal of
  /// an expert to be planned; see minCopyGain().
  double MinGain = 0.01;
};

/// A map with its predicted effect. The skew of a set is the largest rank load
/// divided by the mean tokens per rank, where the load of a rank is its tokens
/// times its slowdown; the skew of the group is the mean over its sets. The
/// expert part of the step time grows in proportion to the skew.
struct GroupPlan {
  GroupMap Map;
  double SkewBefore = 1;
  double SkewAfter = 1;
  /// Experts to copy (see OrderKind::Prepare), over all ranks.
  std::uint32_t Copies = 0;
  /// Largest number of experts that any one rank copies.
  std::uint32_t MaxCopiesPerRank = 0;
};

/// Plans the next map of a group in which the ranks that hold an expert share
/// its tokens evenly. Edits the current map rather than building a new one, as
/// every copied expert costs time and popularity soon changes again; each edit
/// is the best one for the most loaded ranks.
GroupPlan planGroup(const GroupMap &current, const ExpertLoads &loads,
                    const GroupPlanLimits &limits);

/// Returns how many experts a rank may copy in one change, at least 1.
/// `copyTime` is the time to copy one expert; 0 if unknown. The limit assumes
/// that popularity shifts every four seconds and that forward passes are slower
/// while experts are copied.
std::uint32_t maxCopiesPerChange(base::Duration copyTime);

/// Returns the minimum gain of a copy, see GroupPlanLimits::MinGain. Copies of
/// large experts occupy the ranks' links and slow their forward passes for
/// longer, and popularity changes before a small gain has made up for that
/// cost.
double minCopyGain(base::Duration copyTime);

/// Returns the skew of a map under the given loads, see GroupPlan and
/// GroupPlanLimits::RankSlowdowns.
double groupSkew(const GroupMap &map, const ExpertLoads &loads,
                 const std::vector<double> &rankSlowdowns = {});

} // namespace bergamot::experts

#endif
