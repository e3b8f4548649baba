#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_RANKINFO_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_RANKINFO_H

#include <cstdint>

namespace bergamot::experts {

/// What the planner knows about one rank of a group.
struct RankInfo {
  /// Expert tokens per second that the rank processes; 0 for a stalled or lost
  /// rank.
  double Speed = 0;
  /// Number of the host; ranks on one host fail together.
  std::uint32_t Host = 0;
  /// Number of the failure domain.
  std::uint32_t Domain = 0;
};

} // namespace bergamot::experts

#endif
