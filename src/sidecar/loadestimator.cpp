#include "sidecar/loadestimator.h"

#include <algorithm>
#include <numeric>

namespace bergamot::sidecar {

namespace {

/// Ratio of the skew under the pending counts to the skew under the estimate
/// that indicates a popularity jump. Without a jump, it stays below 1.3 on the
/// deployments' traffic.
constexpr double JumpSkewRatio = 1.5;
/// Minimum number of pending expert selections for a merge.
constexpr double MinPendingSelections = 20000;
/// Minimum number of pending expert selections relative to the estimate: the
/// first few requests of a group that has just opened again aren't
/// representative.
constexpr double MinPendingFraction = 0.1;

} // namespace

void LoadEstimator::setInitial(const experts::ExpertLoads &loads) {
  Loads = loads;
  Selections = 0;
  for (const auto &set : Loads)
    Selections = std::accumulate(set.begin(), set.end(), Selections);
}

void LoadEstimator::addCounts(const CountDeltas &counts) {
  const std::size_t perSet = Loads.empty() ? 0 : Loads.front().size();
  if (perSet == 0 || counts.size() != Loads.size() * perSet)
    return;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    PendingLoads[i / perSet][i % perSet] += counts[i];
    PendingSelections += counts[i];
  }
}

bool LoadEstimator::mergePending(const experts::GroupMap &map) {
  // Fewer counts stay pending. Merged into the estimate on their own, they
  // would mask the jump that they are part of.
  if (PendingSelections <
      std::max(MinPendingSelections, MinPendingFraction * Selections))
    return false;
  const bool jumped =
      Selections > 0 && experts::groupSkew(map, PendingLoads) >
                            JumpSkewRatio * experts::groupSkew(map, Loads);
  const double decay = jumped ? 0 : Decay;
  for (std::size_t s = 0; s < Loads.size(); ++s)
    for (std::size_t e = 0; e < Loads[s].size(); ++e) {
      Loads[s][e] = decay * Loads[s][e] + PendingLoads[s][e];
      PendingLoads[s][e] = 0;
    }
  Selections = decay * Selections + PendingSelections;
  PendingSelections = 0;
  return jumped;
}

} // namespace bergamot::sidecar
