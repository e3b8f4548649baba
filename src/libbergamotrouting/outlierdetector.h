#ifndef BERGAMOT_LIBBERGAMOTROUTING_OUTLIERDETECTOR_H
#define BERGAMOT_LIBBERGAMOTROUTING_OUTLIERDETECTOR_H

#include "libbergamotrouting/routingtypes.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace bergamot::routing {

/// Settings of an OutlierDetector.
struct OutlierSettings {
  /// Failures in a row that eject a target.
  std::uint32_t FailuresInRow = 5;
  /// Time of a first ejection; the n-th one in a row lasts n times as long.
  Duration EjectionTime = std::chrono::seconds(5);
  std::uint32_t MostTimes = 6;
};

/// A target that has been ejected, or one that has been taken back.
struct EjectionChange {
  TargetId Target;
  bool Ejected = false;
};

/// Ejects targets of a service that fail repeatedly, as seen by one entry. At
/// most one third of the service's targets are ejected at a time: more
/// failures than that come from a cause that ejection can't cure.
class OutlierDetector {
public:
  explicit OutlierDetector(const OutlierSettings &settings);

  /// Replaces the targets. What is known of those that stay is kept; of the
  /// ejected ones, the latest are taken back if they are too many now.
  std::vector<EjectionChange> setTargets(const std::vector<TargetId> &targets);

  /// Takes the result of an attempt. Refusals for lack of capacity are no
  /// failures. Returns whether the target is ejected now.
  bool addResult(const TargetId &target, bool failed, TimePoint now);

  /// Takes back and returns the targets whose ejection is over. Each starts
  /// with one failure left, so that it is ejected again if it still fails.
  std::vector<EjectionChange> removeExpired(TimePoint now);

  std::size_t ejectedCount() const { return EjectedCount; }

private:
  struct State {
    std::uint32_t Failures = 0;
    std::uint32_t Times = 0;
    bool Ejected = false;
    TimePoint Until;
  };

  void takeBack(State &state);

  OutlierSettings Settings;
  std::map<TargetId, State> States;
  std::size_t EjectedCount = 0;
};

} // namespace bergamot::routing

#endif
