#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETHEALTH_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETHEALTH_H

#include "libbergamotbase/timetypes.h"

#include <map>
#include <string>

namespace bergamot::gateway {

/// How results of requests weigh in a target's penalty.
struct HealthSettings {
  /// Weight of the newest result.
  double SmoothingFactor = 0.25;
  /// A penalty halves in this time without results, so that a target that
  /// gets no requests is tried again.
  base::Duration HalfLife = std::chrono::seconds(3);
};

/// Judges targets by the results of requests, since their own health answers
/// may be wrong in both directions.
class TargetHealth {
public:
  explicit TargetHealth(const HealthSettings &settings) : Settings(settings) {}

  void addResult(const std::string &target, bool failed, base::TimePoint now);
  /// Returns 0 for a sound target up to 1 for one that always fails.
  double penalty(const std::string &target, base::TimePoint now) const;
  /// Takes a target that can't be reached; it gets nothing before `until`.
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
