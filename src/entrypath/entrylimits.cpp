// The part of Entry that computes what the back-offs and request rates of
// targets permit, and the Retry-After of rejected requests.
#include "entrypath/entry.h"
#include "entrypath/exchange.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace bergamot::entrypath {

using base::Duration;
using base::TimePoint;

namespace {

/// Stands for a time at which no target takes a request from this entry.
constexpr std::chrono::hours MaxNextSendDelay{1};
/// A shorter delay would be negligible next to the network delay.
constexpr double MinRetryAfterSeconds = 0.05;
/// Retry-After of a request whose prompt is blocked for longer or for good.
constexpr std::chrono::minutes MaxRetryAfter{1};
/// While this entry shuts down, another one can serve the request at once.
constexpr auto ShutdownRetryAfter = "0.02";

} // namespace

/// Returns when the next request may be sent to a target, as far as its
/// back-off and its request rate determine it.
TimePoint Entry::nextSendAt(const gateway::KnownTarget &target, TimePoint now) {
  const std::string &id = target.Record.Id;
  const std::int64_t startedAtMs = target.Record.StartedAtMs;
  const TimePoint backoffUntil = Backoffs.backoffUntil(id, startedAtMs);
  if (RateLimits.isEmpty())
    return backoffUntil;
  const gateway::TargetHash hash = gateway::targetHash(id);
  // This entry's share can't be computed before the number of entries is known.
  if (!EntryNamesSet && RateLimits.share(hash, startedAtMs, now))
    return TimePoint::max();
  return std::max(backoffUntil, RateLimits.nextSendAt(hash, startedAtMs, now));
}

/// Adds what the back-offs and the request rates of a service's targets permit.
void Entry::addTargetLimits(const std::string &serviceName,
                            gateway::QueueState &state) {
  const TimePoint at = now();
  TimePoint earliest = TimePoint::max();
  double totalRate = 0;
  bool allLimited = true;
  bool hasTargets = false;
  for (const auto &[id, target] : Directory.targets()) {
    if (target.Record.Service != serviceName || !isUsable(target))
      continue;
    std::optional<double> share;
    if (!RateLimits.isEmpty())
      share = RateLimits.share(gateway::targetHash(id),
                               target.Record.StartedAtMs, at);
    const TimePoint sendAt = nextSendAt(target, at);
    // One such target decides both; there may be hundreds.
    if (!share && sendAt <= at)
      return;
    hasTargets = true;
    earliest = std::min(earliest, sendAt);
    allLimited = allLimited && share;
    totalRate += share.value_or(0);
  }
  if (!hasTargets)
    return;
  state.NextSendIn =
      std::clamp<TimePoint>(earliest, at, at + MaxNextSendDelay) - at;
  if (allLimited)
    state.MaxRate = totalRate;
}

void Entry::setRetryAfter(adaptertcp::HeaderFields &headers,
                          const Exchange &exchange) {
  const Duration left = std::max(Duration::zero(), exchange.deadline() - now());
  if (!canComplete(exchange)) {
    headers.set("Retry-After", ShutdownRetryAfter);
    return;
  }
  const std::string &serviceName = exchange.service();
  const gateway::QueueState queue =
      serviceName.empty() ? gateway::QueueState()
                          : queueState(serviceName, service(serviceName));
  std::chrono::duration<double> delay =
      gateway::retryAfterDelay(left, queue, drawUniform());
  const TimePoint at = now();
  if (Suspects.verdict(exchange.promptParts(), at) !=
      gateway::PromptVerdict::Free)
    delay = std::clamp<Duration>(
        Suspects.nextDecisionAt(exchange.promptParts(), at) - at,
        std::chrono::duration_cast<Duration>(delay), MaxRetryAfter);
  std::array<char, 16> text{};
  (void)std::snprintf(text.data(), text.size(), "%.2f",
                      std::max(MinRetryAfterSeconds, delay.count()));
  headers.set("Retry-After", text.data());
}

} // namespace bergamot::entrypath
