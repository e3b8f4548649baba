#ifndef BERGAMOT_SIDECAR_DUTY_H
#define BERGAMOT_SIDECAR_DUTY_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>

namespace bergamot::sidecar {

/// Decides which of a group's sidecars coordinates: the one of the lowest rank
/// that runs. A coordinator calls all sidecars all the time; one that isn't
/// called takes over, later for higher ranks. Two may act for a moment, which
/// is safe (see MapChange).
class Duty {
public:
  explicit Duty(base::TimePoint start) : LastCall(start) {}

  /// Takes a call of the coordinator beside a rank.
  void addCall(std::uint32_t caller, std::uint32_t ownRank,
               base::TimePoint now);
  /// Returns whether this sidecar coordinates now.
  bool isCoordinator(std::uint32_t ownRank, base::TimePoint now);

private:
  base::TimePoint LastCall;
  bool Holds = false;
};

} // namespace bergamot::sidecar

#endif
