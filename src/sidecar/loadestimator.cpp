#include "sidecar/loadestimator.h"

#include <algorithm>
#include <numeric>

namespace bergamot::sidecar {

namespace {

/// Growth of the skew from the estimate to the newest update that shows a jump:
/// without one, it stays below 1.3 on the deployments' traffic.
constexpr double JumpGrowth = 1.5;
/// Choices that an update must hold to be judged.
constexpr double MinUpdateWeight = 20000;
/// Part of the estimate's choices that an update must hold, too: the first few
/// requests of a group that has formed anew are no sample of all.
constexpr double MinUpdatePart = 0.1;

} // namespace

void LoadEstimate::setEarlier(const experts::ExpertLoads &loads) {
  Loads = loads;
  Weight = 0;
  for (const auto &set : Loads)
    Weight = std::accumulate(set.begin(), set.end(), Weight);
}

void LoadEstimate::addCounts(const AddedCounts &counts) {
  const std::size_t perSet = Loads.empty() ? 0 : Loads.front().size();
  if (perSet == 0 || counts.size() != Loads.size() * perSet)
    return;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    Newest[i / perSet][i % perSet] += counts[i];
    NewestWeight += counts[i];
  }
}

bool LoadEstimate::finishUpdate(const experts::GroupMap &map) {
  // What is too little to be judged is left for the next update. If it became
  // part of the estimate, it would hide a jump that it belongs to.
  if (NewestWeight < std::max(MinUpdateWeight, MinUpdatePart * Weight))
    return false;
  const bool jumped =
      Weight > 0 && experts::groupSkew(map, Newest) >
                        JumpGrowth * experts::groupSkew(map, Loads);
  const double keep = jumped ? 0 : Keep;
  for (std::size_t s = 0; s < Loads.size(); ++s)
    for (std::size_t e = 0; e < Loads[s].size(); ++e) {
      Loads[s][e] = keep * Loads[s][e] + Newest[s][e];
      Newest[s][e] = 0;
    }
  Weight = keep * Weight + NewestWeight;
  NewestWeight = 0;
  return jumped;
}

} // namespace bergamot::sidecar
