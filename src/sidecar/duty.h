#ifndef BERGAMOT_SIDECAR_DUTY_H
#define BERGAMOT_SIDECAR_DUTY_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <optional>

namespace bergamot::sidecar {

/// Decides which of a group's sidecars coordinates: the one of the lowest rank
/// that runs. A coordinator calls all sidecars all the time; one that isn't
/// called takes over, later for higher ranks. So does one whose engine holds
/// back a step for long, as the coordinator that asked for it stands still. Two
/// may act for a moment, which is safe (see MapChange).
class Duty {
public:
  explicit Duty(base::TimePoint start) : LastCall(start) {}

  /// Takes a call of the coordinator beside a rank.
  void addCall(std::uint32_t caller, std::uint32_t ownRank,
               base::TimePoint now);
  /// Takes the step that the own engine holds back, if any.
  void setHeldStep(std::optional<std::uint64_t> step, base::TimePoint now);
  /// Returns whether this sidecar coordinates now.
  bool isCoordinator(std::uint32_t ownRank, base::TimePoint now);

private:
  base::TimePoint LastCall;
  bool Holds = false;
  std::optional<std::uint64_t> HeldStep;
  base::TimePoint HeldSince;
};

} // namespace bergamot::sidecar

#endif
