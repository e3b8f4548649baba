#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETHEALTH_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETHEALTH_H

#include "libbergamotbase/timetypes.h"

#include <map>
#include <string>

namespace bergamot::gateway {

/// Parameters of the moving average of request results.
struct HealthSettings {
  /// Weight of the newest result.
  double SmoothingFactor = 0.25;
  /// Without results a penalty halves in this time, so that a target that gets
  /// no requests is tried again.
  base::Duration HalfLife = std::chrono::seconds(3);
};

/// Rates targets by the results of requests, because a target's own health
/// check may report failures that don't exist or miss those that do.
class TargetHealth {
public:
  explicit TargetHealth(const HealthSettings &settings) : Settings(settings) {}

  void addResult(const std::string &target, bool failed, base::TimePoint now);
  /// Returns a penalty from 0 for a healthy target to 1 for one that always
  /// fails.
  double penalty(const std::string &target, base::TimePoint now) const;
  /// Marks a target as unresponsive; it gets no requests before `until`.
  void markUnresponsive(const std::string &target, base::TimePoint until);
  bool isUnresponsive(const std::string &target, base::TimePoint now) const;

private:
  struct State {
    double Penalty = 0;
    base::TimePoint UpdatedAt;
    base::TimePoint UnresponsiveUntil;
  };

  double decayedPenalty(const State &state, base::TimePoint now) const;

  HealthSettings Settings;
  std::map<std::string, State> ByTarget;
};

} // namespace bergamot::gateway

#endif
