#include "libbergamotexperts/emergencymap.h"

#include "libbergamotexperts/splitstate.h"

#include <algorithm>

namespace bergamot::experts {

namespace {

// After a rank failure the token split is far from balanced, but the group
// waits for this map; 30 sweeps take well under a millisecond per layer.
constexpr unsigned EmergencySweeps = 30;
constexpr double EmergencyTolerance = 1e-3;

} // namespace

EmergencyResult emergencyMaps(std::span<const ExpertMap> layers,
                              std::span<const RankInfo> ranks,
                              std::span<const std::vector<double>> tokens) {
  GroupOutOfService out;
  EmergencyMaps maps;
  for (std::uint32_t layer = 0; layer < layers.size(); ++layer) {
    SplitState state(layers[layer], ranks, tokens[layer]);
    for (std::uint32_t e = 0; e < state.expertCount(); ++e)
      if (std::ranges::none_of(state.replicaSlots(e), [&](auto slot) {
            return state.isLive(state.rankOf(slot));
          }))
        out.Lost.push_back({layer, e});
    if (!out.Lost.empty())
      continue;
    state.balanceAll(EmergencySweeps, EmergencyTolerance);
    maps.MaxLayerSkew =
        std::max(maps.MaxLayerSkew, state.maxTime() / state.meanTime());
    maps.Layers.push_back(state.map());
  }
  if (!out.Lost.empty())
    return out;
  return maps;
}

} // namespace bergamot::experts
