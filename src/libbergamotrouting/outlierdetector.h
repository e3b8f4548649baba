#ifndef BERGAMOT_LIBBERGAMOTROUTING_OUTLIERDETECTOR_H
#define BERGAMOT_LIBBERGAMOTROUTING_OUTLIERDETECTOR_H

#include "libbergamotrouting/routingtypes.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace bergamot::routing {

/// Settings of an OutlierDetector.
struct OutlierSettings {
  /// Consecutive failures that eject a target.
  std::uint32_t ConsecutiveFailures = 5;
  /// Duration of the first ejection. The n-th consecutive one lasts n times as
  /// long.
  Duration BaseEjectionTime = std::chrono::seconds(5);
  std::uint32_t MaxEjectionMultiplier = 6;
};

/// A target whose ejection has begun or ended.
struct EjectionChange {
  TargetId Target;
  bool Ejected = false;
};

/// Passive health check at one entry: ejects targets of a service that fail
/// repeatedly. At most one third of the service's targets are ejected at a
/// time, since if more targets fail, the cause is one that ejection can't fix.
class OutlierDetector {
public:
  explicit OutlierDetector(const OutlierSettings &settings);

  /// Replaces the targets. Targets that remain keep their state. If more than
  /// one third of the new set is ejected, the ejections that would end last are
  /// ended now.
  std::vector<EjectionChange> setTargets(const std::vector<TargetId> &targets);

  /// Records the result of an attempt. Refusals for lack of capacity don't
  /// count as failures. Returns whether the target is ejected now.
  bool addResult(const TargetId &target, bool failed, TimePoint now);

  /// Ends the ejections that have expired and returns their targets. Each of
  /// these targets starts one failure short of its next ejection, so that it is
  /// ejected again if it still fails.
  std::vector<EjectionChange> unejectExpired(TimePoint now);

  std::size_t ejectedCount() const { return EjectedCount; }

private:
  struct State {
    std::uint32_t Failures = 0;
    std::uint32_t EjectionMultiplier = 0;
    bool Ejected = false;
    TimePoint EjectedUntil;
  };

  void uneject(State &state);

  OutlierSettings Settings;
  std::map<TargetId, State> States;
  std::size_t EjectedCount = 0;
};

} // namespace bergamot::routing

#endif
