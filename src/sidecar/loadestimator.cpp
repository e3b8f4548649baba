#include "sidecar/loadestimator.h"

#include <algorithm>
#include <numeric>

namespace bergamot::sidecar {

namespace {

/// Ratio of the newest update's skew to the estimate's skew that indicates a
/// popularity jump. Without a jump, it stays below 1.3 on the deployments'
/// traffic.
constexpr double JumpSkewRatio = 1.5;
/// Minimum number of expert selections in an update.
constexpr double MinUpdateWeight = 20000;
/// Minimum size of an update relative to the estimate: the first few requests
/// of a group that has just formed again aren't representative.
constexpr double MinUpdateFraction = 0.1;

} // namespace

void LoadEstimator::setInitial(const experts::ExpertLoads &loads) {
  Loads = loads;
  Weight = 0;
  for (const auto &set : Loads)
    Weight = std::accumulate(set.begin(), set.end(), Weight);
}

void LoadEstimator::addCounts(const CountDeltas &counts) {
  const std::size_t perSet = Loads.empty() ? 0 : Loads.front().size();
  if (perSet == 0 || counts.size() != Loads.size() * perSet)
    return;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    PendingLoads[i / perSet][i % perSet] += counts[i];
    PendingWeight += counts[i];
  }
}

bool LoadEstimator::finishUpdate(const experts::GroupMap &map) {
  // Smaller updates are accumulated. Merged into the estimate on their own,
  // they would mask the jump that they are part of.
  if (PendingWeight < std::max(MinUpdateWeight, MinUpdateFraction * Weight))
    return false;
  const bool jumped =
      Weight > 0 && experts::groupSkew(map, PendingLoads) >
                        JumpSkewRatio * experts::groupSkew(map, Loads);
  const double decay = jumped ? 0 : Decay;
  for (std::size_t s = 0; s < Loads.size(); ++s)
    for (std::size_t e = 0; e < Loads[s].size(); ++e) {
      Loads[s][e] = decay * Loads[s][e] + PendingLoads[s][e];
      PendingLoads[s][e] = 0;
    }
  Weight = decay * Weight + PendingWeight;
  PendingWeight = 0;
  return jumped;
}

} // namespace bergamot::sidecar
