#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_RANKINFO_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_RANKINFO_H

#include <cstdint>

namespace bergamot::experts {

/// Planner input for one rank of a group.
struct RankInfo {
  /// Expert tokens per second that the rank processes; 0 for a stalled or lost
  /// rank.
  double Speed = 0;
  /// Host number; ranks on one host fail together.
  std::uint32_t Host = 0;
  /// Failure domain number.
  std::uint32_t Domain = 0;
};

} // namespace bergamot::experts

#endif
