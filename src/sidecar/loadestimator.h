#ifndef BERGAMOT_SIDECAR_LOADESTIMATOR_H
#define BERGAMOT_SIDECAR_LOADESTIMATOR_H

#include "libbergamotexperts/groupplanner.h"
#include "sidecar/rankclient.h"

#include <cstdint>

namespace bergamot::sidecar {

/// Estimates the present popularity of experts from the ranks' counters,
/// which only grow. Popularity stays about the same for seconds and then jumps:
/// the estimate averages over recent updates, and starts anew once the newest
/// update doesn't fit it any more.
class LoadEstimate {
public:
  /// `keep` is the weight that earlier loads keep at an update.
  LoadEstimate(std::uint32_t sets, std::uint32_t experts, double keep)
      : Keep(keep), Loads(sets, std::vector<double>(experts, 0)),
        Newest(Loads) {}

  /// Starts with the popularity that an earlier coordinator has seen, of the
  /// same sizes. Counts soon outweigh it.
  void setEarlier(const experts::ExpertLoads &loads);
  /// Adds what ranks have counted since they were last asked. Counts of another
  /// size are ignored.
  void addCounts(const AddedCounts &counts);
  /// Ends an update: the counts added since the last one become part of the
  /// estimate. Returns whether popularity has jumped, as seen by the skew of
  /// the map in use.
  bool finishUpdate(const experts::GroupMap &map);

  const experts::ExpertLoads &loads() const { return Loads; }
  /// Returns the weighted number of choices in the estimate.
  double weight() const { return Weight; }

private:
  double Keep;
  experts::ExpertLoads Loads;
  experts::ExpertLoads Newest;
  double Weight = 0;
  double NewestWeight = 0;
};

} // namespace bergamot::sidecar

#endif
