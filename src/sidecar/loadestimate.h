#ifndef BERGAMOT_SIDECAR_LOADESTIMATE_H
#define BERGAMOT_SIDECAR_LOADESTIMATE_H

#include "libbergamotexperts/groupplanner.h"
#include "sidecar/rankport.h"

#include <cstdint>
#include <map>

namespace bergamot::sidecar {

/// Estimates the present popularity of experts from the ranks' counters,
/// which only grow. Older counts lose weight with every update.
class LoadEstimate {
public:
  /// `keep` is the weight that the previous loads keep at an update.
  LoadEstimate(std::uint32_t sets, std::uint32_t experts, double keep)
      : Keep(keep), Loads(sets, std::vector<double>(experts, 0)) {}

  /// Starts an update; the ranks' counts follow.
  void startUpdate();
  /// Adds what a rank has counted since its last call. The first counts of a
  /// rank or epoch only set the starting point.
  void addCounts(std::uint32_t rank, const RankCounts &counts);

  const experts::ExpertLoads &loads() const { return Loads; }
  /// Returns the weighted number of choices in the estimate.
  double weight() const { return Weight; }

private:
  double Keep;
  experts::ExpertLoads Loads;
  double Weight = 0;
  std::map<std::uint32_t, RankCounts> Last;
};

} // namespace bergamot::sidecar

#endif
