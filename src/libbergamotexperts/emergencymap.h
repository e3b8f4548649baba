#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_EMERGENCYMAP_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_EMERGENCYMAP_H

#include "libbergamotexperts/expertmap.h"
#include "libbergamotexperts/rankinfo.h"

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace bergamot::experts {

/// Maps that use the surviving replicas only, so that no bytes move.
struct EmergencyMaps {
  std::vector<ExpertMap> Layers;
  /// Largest max/mean rank time over the layers.
  double Skew = 0;
};

/// Experts without a live replica: the router stops sending to the group at
/// once, and the list says what has to be fetched to serve again.
struct GroupOutOfService {
  struct LostExpert {
    std::uint32_t Layer = 0;
    std::uint32_t Expert = 0;
  };
  std::vector<LostExpert> Lost;
};

using EmergencyResult = std::variant<EmergencyMaps, GroupOutOfService>;

/// Returns what a group does when ranks are lost or stalled, which have a
/// speed of 0 in `ranks`. `tokens` are tokens per step, per layer and expert.
EmergencyResult emergencyMaps(std::span<const ExpertMap> layers,
                              std::span<const RankInfo> ranks,
                              std::span<const std::vector<double>> tokens);

} // namespace bergamot::experts

#endif
