// The part of Entry that records the state of targets and the results of
// attempts, and returns connections to the pool.
#include "entrypath/entry.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bergamot::entrypath {

using base::Duration;
using base::TimePoint;
using gateway::AttemptFailure;
using std::chrono::milliseconds;

namespace {

/// How long an unresponsive target is sent no requests. Suspensions of a VM
/// take about four seconds.
constexpr milliseconds UnresponsiveTargetBackoff{1500};
/// Idle time after which a pooled connection is closed if its target states no
/// keep-alive time. With a stated time, the connection is closed
/// KeepAliveMargin before it ends.
constexpr milliseconds DefaultKeepAlive{4000};
constexpr milliseconds KeepAliveMargin{900};
/// Bounds on the unknown response fields that are logged, as a faulty target
/// may send any number of names.
constexpr std::size_t MaxUnknownFields = 32;
constexpr std::size_t MaxLoggedFieldBytes = 64;

} // namespace

void Entry::setTarget(const gateway::TargetRecord &record,
                      gateway::TargetDirectory::RecordAge age) {
  const auto change = Scheduler.setTarget(record, now(), age);
  if (change)
    base::logDecision("group.state", {{"group", change->Group},
                                      {"open", change->Open},
                                      {"ranks", change->Ranks},
                                      {"open_ranks", change->OpenRanks},
                                      {"closed_ranks", change->ClosedRanks}});
  onTargetsChanged();
}

void Entry::recordResponse(const std::string &target, std::int64_t startedAtMs,
                           TimePoint sentAt, const TargetResponse &response) {
  const TimePoint at = now();
  if (response.ColdFor && response.ColdFor->count() > 0)
    Scheduler.directory().setColdUntil(target, at + *response.ColdFor);
  // The response is from another instance, so what it states doesn't apply to
  // the target.
  if (response.Misdirected)
    return;
  gateway::DrainingTargets &draining = Scheduler.drainingTargets();
  if (response.IsDraining && !draining.contains(target, startedAtMs)) {
    base::logDecision("target.leaving", {{"target", target}});
    draining.add(target, startedAtMs, at);
  }
  if (response.BackoffFor)
    Scheduler.backoffs().setBackoff(target, startedAtMs,
                                    at + *response.BackoffFor, at);
  const bool hasBackoff = response.BackoffFor || response.HasInvalidBackoff;
  if (hasBackoff && EventLog.admit("target.rest", at))
    base::logDecision(
        "target.rest",
        {{"target", target},
         {"valid", !response.HasInvalidBackoff},
         {"ms", response.BackoffFor.value_or(milliseconds(0)).count()}});
  recordRateLimit(target, startedAtMs, sentAt, response);
}

void Entry::recordRateLimit(const std::string &target, std::int64_t startedAtMs,
                            TimePoint sentAt, const TargetResponse &response) {
  const TimePoint at = now();
  if (response.HasInvalidRateLimit) {
    EventLog.write("target.limit", {{"target", target}, {"valid", false}}, at);
    return;
  }
  const gateway::TargetHash hash = gateway::targetHash(target);
  gateway::TargetRateLimits &limits = Scheduler.rateLimits();
  if (!limits.recordResponse({hash, startedAtMs, response.RequestRateLimit, at},
                             sentAt))
    return;
  if (EventLog.admit("target.limit", at))
    base::logDecision(
        "target.limit",
        {{"target", target},
         {"valid", true},
         {"limited", response.RequestRateLimit.has_value()},
         {"per_second", response.RequestRateLimit.value_or(0)},
         {"share", limits.share(hash, startedAtMs, at).value_or(0)}});
  if (OnRateLimit)
    OnRateLimit();
}

void Entry::mergeRateStatements(const std::vector<gateway::RateStatement> &it) {
  Scheduler.rateLimits().merge(it, now());
}

void Entry::recordUnknownFields(const std::string &target,
                                const adaptertcp::ResponseHead &head) {
  for (const auto &it : head.Headers.fields()) {
    if (Codec.isKnownResponseField(it.Name) ||
        UnknownFields.size() >= MaxUnknownFields)
      continue;
    const std::string name = it.Name.substr(0, MaxLoggedFieldBytes);
    if (UnknownFields.insert(name).second)
      base::logInfo("response.unknown_field",
                    {{"target", target},
                     {"name", name},
                     {"value", it.Value.substr(0, MaxLoggedFieldBytes)}});
  }
}

void Entry::recordProgress(const std::string &serviceName,
                           const std::string &group) {
  if (group.empty())
    return;
  const bool wasServing = groups().isReady(group, now());
  groups().recordProgress(group, now());
  if (wasServing)
    return;
  base::logDecision("group.moves", {{"group", group}});
  scheduleQueueProcessing(serviceName);
}

/// Exports the limits on streams of groups, and logs those that have changed.
void Entry::recordGroupLimits() {
  for (const auto &it : Scheduler.groupLimits(now())) {
    Metrics.setGauge("bergamot_group_stream_limit",
                     "group=\"" + it.Group + "\"", it.Limit);
    std::uint32_t &logged = LoggedGroupLimits[it.Group];
    if (std::exchange(logged, it.Limit) == it.Limit ||
        !EventLog.admit("group.stream_limit", now()))
      continue;
    base::logDecision("group.stream_limit",
                      {{"group", it.Group},
                       {"limit", it.Limit},
                       {"fallback", it.Fallback},
                       {"requests_per_target", it.RequestsPerTarget}});
  }
}

void Entry::recordSuccess(const std::string &target) {
  Scheduler.health().addResult(target, false, now());
}

void Entry::recordFailure(const std::string &target, AttemptFailure failure) {
  if (failure == AttemptFailure::Misdirected) {
    base::logDecision("target.replaced", {{"target", target}});
    Scheduler.recordReplaced(target, now());
    return;
  }
  if (failure != AttemptFailure::Refused)
    Scheduler.health().addResult(target, true, now());
}

void Entry::recordUnresponsive(const std::string &target) {
  const TimePoint at = now();
  gateway::TargetHealth &health = Scheduler.health();
  if (!health.isUnresponsive(target, at))
    base::logDecision("target.silent", {{"target", target}});
  health.markUnresponsive(target, at + UnresponsiveTargetBackoff);
}

void Entry::returnToPool(const std::string &target,
                         ConnectionPool::Connection connection,
                         const TargetResponse &response, TimePoint now) {
  Duration keepFor = DefaultKeepAlive;
  if (response.KeepAliveFor)
    keepFor = *response.KeepAliveFor - KeepAliveMargin;
  if (keepFor <= Duration::zero()) {
    connection->close();
    return;
  }
  Pool.put(target, std::move(connection), now + keepFor, now);
}

} // namespace bergamot::entrypath
