// The part of Entry that records the state and the results of targets, and
// returns connections to the pool.
#include "entrypath/entry.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

namespace bergamot::entrypath {

using base::Duration;
using base::TimePoint;
using gateway::AttemptFailure;
using std::chrono::milliseconds;

namespace {

/// How long a silent target is sent no requests. A suspended VM stands still
/// for about four seconds.
constexpr milliseconds SilentTargetBackoff{1500};
/// Idle time after which a pooled connection is closed if its target states no
/// keep-alive time, and the margin before a stated one.
constexpr milliseconds DefaultKeepAlive{4000};
constexpr milliseconds KeepAliveMargin{900};

} // namespace

void Entry::noteResponse(const std::string &target, std::int64_t startedAtMs,
                         const TargetResponse &response) {
  const TimePoint at = now();
  if (response.ColdFor && response.ColdFor->count() > 0)
    Directory.setColdUntil(target, at + *response.ColdFor);
  // The response is from another instance, so its state isn't that of the
  // target.
  if (response.Misdirected)
    return;
  if (response.IsLeaving && !TargetsLeaving.contains(target, startedAtMs)) {
    base::logDecision("target.leaving", {{"target", target}});
    TargetsLeaving.add(target, startedAtMs, at);
  }
  if (response.BackoffFor)
    Backoffs.setBackoff(target, startedAtMs, at + *response.BackoffFor, at);
  const bool hasBackoff = response.BackoffFor || response.HasInvalidBackoff;
  if (hasBackoff && Decisions.admit("target.rest", at))
    base::logDecision(
        "target.rest",
        {{"target", target},
         {"valid", !response.HasInvalidBackoff},
         {"ms", response.BackoffFor.value_or(milliseconds(0)).count()}});
}

void Entry::recordProgress(const std::string &service,
                           const std::string &group) {
  if (group.empty())
    return;
  const bool wasMoving = Groups.isServing(group, now());
  Groups.recordProgress(group, now());
  if (wasMoving)
    return;
  base::logDecision("group.moves", {{"group", group}});
  scheduleQueueProcessing(service);
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
  if (!Health.isUnresponsive(target, at))
    base::logDecision("target.silent", {{"target", target}});
  Health.markUnresponsive(target, at + SilentTargetBackoff);
}

void Entry::returnToPool(const std::string &target,
                         ConnectionPool::Connection connection,
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
