// The part of Entry that computes the Retry-After of rejected requests.
#include "entrypath/entry.h"
#include "entrypath/exchange.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace bergamot::entrypath {

using base::Duration;
using base::TimePoint;

namespace {

/// A shorter delay would be negligible next to the network delay.
constexpr double MinRetryAfterSeconds = 0.05;
/// Retry-After of a request whose prompt is blocked for longer or for good.
constexpr std::chrono::minutes MaxRetryAfter{1};
/// While this entry shuts down, another one can serve the request at once.
constexpr auto ShutdownRetryAfter = "0.02";

} // namespace

void Entry::setRetryAfter(adaptertcp::HeaderFields &headers,
                          const Exchange &exchange) {
  const Duration left = std::max(Duration::zero(), exchange.deadline() - now());
  if (!canComplete(exchange)) {
    headers.set("Retry-After", ShutdownRetryAfter);
    return;
  }
  const std::string &serviceName = exchange.service();
  gateway::QueueState queue;
  if (!serviceName.empty()) {
    ServiceState &state = service(serviceName);
    queue = queueState(serviceName, state);
    queue.OnTimeAhead =
        state.Queue.onTimeAhead(waitingRequest(exchange), now());
  }
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
