#ifndef BERGAMOT_SIDECAR_COORDINATORELECTION_H
#define BERGAMOT_SIDECAR_COORDINATORELECTION_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <optional>

namespace bergamot::sidecar {

/// Decides which of a group's sidecars coordinates: the one of the lowest rank
/// that runs. A coordinator calls all sidecars all the time; one that isn't
/// called takes over, later for higher ranks. So does one whose engine holds
/// back a step for long, as the coordinator that asked for it stands still. Two
/// may act for a moment, which is safe (see MapChange).
///
/// Load pattern: after a power loss all sidecars start and all groups open at
/// the same moment, and the first map is urgent. Rank 0 then coordinates at
/// once, and the others give it time; if they all did, they would hinder each
/// other and read the members from the platform's store many times.
class Duty {
public:
  explicit Duty(base::TimePoint start) : LastCall(start) {}

  /// Takes whether the group is open. Nobody takes over a closed group; who
  /// coordinates goes on, as what it knows of popularity is of use when the
  /// group has formed anew.
  void setOpen(bool open, base::TimePoint now);

  /// Takes a call of the coordinator beside a rank.
  void addCall(std::uint32_t caller, std::uint32_t ownRank,
               base::TimePoint now);
  /// Takes that the process has stood still for long: another sidecar may
  /// coordinate by now, and what this one knows is out of date.
  void endPause(base::TimePoint now);
  /// Takes the step that the own engine holds back, if any.
  void setHeldStep(std::optional<std::uint64_t> step, base::TimePoint now);
  /// Returns whether this sidecar coordinates now.
  bool isCoordinator(std::uint32_t ownRank, base::TimePoint now);

private:
  bool Open = false;
  base::TimePoint OpenedAt;
  base::TimePoint LastCall;
  bool Holds = false;
  std::optional<std::uint64_t> HeldStep;
  base::TimePoint HeldSince;
};

} // namespace bergamot::sidecar

#endif
