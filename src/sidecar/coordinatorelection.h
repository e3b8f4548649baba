#ifndef BERGAMOT_SIDECAR_COORDINATORELECTION_H
#define BERGAMOT_SIDECAR_COORDINATORELECTION_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <optional>

namespace bergamot::sidecar {

/// Decides which sidecar of a group is its coordinator: of the sidecars that
/// are running, the one with the lowest rank. A coordinator calls all sidecars
/// continuously. A sidecar that isn't called takes over, after a delay that
/// grows with its rank. So does a sidecar whose engine holds a step for too
/// long, as the coordinator that ordered the hold must have stalled. Two
/// coordinators may act for a short time, which is safe (see
/// experts::MapChange).
///
/// A group is open when it has formed and accepts requests. After a power loss
/// all sidecars start and all groups open at the same time, and need their
/// first map urgently. The sidecar of rank 0 then coordinates at once and the
/// others wait; otherwise they would conflict, and all of them would read the
/// members from the platform's store.
class CoordinatorElection {
public:
  explicit CoordinatorElection(base::TimePoint start) : LastCallAt(start) {}

  /// Sets whether the group is open. No sidecar takes over a closed group, but
  /// the current coordinator stays: its popularity estimate is still useful
  /// when the group opens again.
  void setGroupOpen(bool open, base::TimePoint now);

  /// Records a call from a coordinator, the sidecar of rank `callerRank`.
  void recordCall(std::uint32_t callerRank, std::uint32_t ownRank,
                  base::TimePoint now);
  /// Resets the election after the process was paused: another sidecar may be
  /// the coordinator by now, and the data of this one is out of date.
  void resetAfterPause(base::TimePoint now);
  /// Sets the step that the local engine holds, if any.
  void setHeldStep(std::optional<std::uint64_t> step, base::TimePoint now);
  /// Returns whether this sidecar is the coordinator now.
  bool isCoordinator(std::uint32_t ownRank, base::TimePoint now);

private:
  bool Open = false;
  base::TimePoint OpenedAt;
  base::TimePoint LastCallAt;
  bool IsCoordinating = false;
  std::optional<std::uint64_t> HeldStep;
  base::TimePoint StepHeldSince;
};

} // namespace bergamot::sidecar

#endif
