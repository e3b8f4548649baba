// The part of Entry that takes what targets do and say, and keeps connections
// to them.
#include "entrypath/entry.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

namespace bergamot::entrypath {

using base::Duration;
using base::TimePoint;
using gateway::AttemptFailure;
using std::chrono::milliseconds;

namespace {

/// Time without requests for a target that has fallen silent. A VM that stands
/// still does so for some four seconds.
constexpr milliseconds SilentRest{1500};
/// Idle time after which a kept connection is closed if its target states
/// none, and the margin before a stated one.
constexpr milliseconds DefaultKeepAlive{4000};
constexpr milliseconds KeepAliveMargin{900};

} // namespace

void Entry::noteResponse(const std::string &target, std::int64_t startedAtMs,
                         const TargetResponse &response) {
  const TimePoint at = now();
  if (response.ColdFor && response.ColdFor->count() > 0)
    Directory.setColdUntil(target, at + *response.ColdFor);
  // Another instance that has the address speaks of itself.
  if (response.Misdirected)
    return;
  if (response.IsLeaving && !TargetsLeaving.contains(target, startedAtMs)) {
    base::logDecision("target.leaving", {{"target", target}});
    TargetsLeaving.add(target, startedAtMs, at);
  }
  if (response.RestFor)
    Rests.setRest(target, startedAtMs, at + *response.RestFor, at);
  const bool hasRest = response.RestFor || response.HasInvalidRest;
  if (hasRest && Decisions.isAllowed("target.rest", at))
    base::logDecision(
        "target.rest",
        {{"target", target},
         {"valid", !response.HasInvalidRest},
         {"ms", response.RestFor.value_or(milliseconds(0)).count()}});
}

void Entry::noteProgress(const std::string &service, const std::string &group) {
  if (group.empty())
    return;
  const bool wasMoving = Groups.isMoving(group, now());
  Groups.noteProgress(group, now());
  if (wasMoving)
    return;
  base::logDecision("group.moves", {{"group", group}});
  schedulePump(service);
}

void Entry::noteSuccess(const std::string &target) {
  Health.addResult(target, false, now());
}

void Entry::noteFailure(const std::string &target, AttemptFailure failure) {
  if (failure == AttemptFailure::Misdirected) {
    base::logDecision("target.replaced", {{"target", target}});
    Directory.removeReplaced(target);
    return;
  }
  if (failure != AttemptFailure::Refused)
    Health.addResult(target, true, now());
}

void Entry::noteSilence(const std::string &target) {
  const TimePoint at = now();
  if (!Health.isSilent(target, at))
    base::logDecision("target.silent", {{"target", target}});
  Health.setSilent(target, at + SilentRest);
}

void Entry::keepConnection(const std::string &target,
                           TargetPool::Connection connection,
                           const TargetResponse &response, TimePoint now) {
  Duration keep = DefaultKeepAlive;
  if (response.KeepAliveFor)
    keep = *response.KeepAliveFor - KeepAliveMargin;
  if (keep <= Duration::zero()) {
    connection->close();
    return;
  }
  Pool.put(target, std::move(connection), now + keep, now);
}

} // namespace bergamot::entrypath
