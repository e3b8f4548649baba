#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_EMERGENCYMAP_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_EMERGENCYMAP_H

#include "libbergamotexperts/expertmap.h"
#include "libbergamotexperts/rankinfo.h"

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace bergamot::experts {

/// Maps that use only the surviving replicas, so that no weights are
/// transferred.
struct EmergencyMaps {
  std::vector<ExpertMap> Layers;
  /// Largest ratio of maximum to mean rank time over all layers.
  double MaxLayerSkew = 0;
};

/// The group can't serve, because some experts have no live replica. The router
/// stops sending to the group at once; Lost lists the experts that must be
/// fetched before the group can serve again.
struct GroupOutOfService {
  struct LostExpert {
    std::uint32_t Layer = 0;
    std::uint32_t Expert = 0;
  };
  std::vector<LostExpert> Lost;
};

using EmergencyResult = std::variant<EmergencyMaps, GroupOutOfService>;

/// Returns the maps to use when ranks are lost or stalled. Lost and stalled
/// ranks have a speed of 0 in `ranks`. `tokens` holds tokens per step by layer
/// and expert.
EmergencyResult emergencyMaps(std::span<const ExpertMap> layers,
                              std::span<const RankInfo> ranks,
                              std::span<const std::vector<double>> tokens);

} // namespace bergamot::experts

#endif
