#include "libbergamotgateway/retrybudget.h"

#include <algorithm>

namespace bergamot::gateway {

namespace {

/// Part of the ratio that a young process grants. An earlier process may have
/// used the ratio for the requests of half a window, and this one runs for up
/// to a whole window of the same span: half of the ratio would use up the bound
/// exactly, and the rest is a margin for uneven traffic.
constexpr double YoungRatioFraction = 0.4;

} // namespace

void RetryBudget::expire(base::TimePoint now) {
  // All requests since the start count while the process is young.
  const base::Duration requestLifetime =
      isYoung(now) ? Bound.Window : Bound.Window / 2;
  while (!Requests.empty() && Requests.front() + requestLifetime <= now)
    Requests.pop_front();
  while (!Retries.empty() && Retries.front() + Bound.Window <= now)
    Retries.pop_front();
}

void RetryBudget::addRequest(base::TimePoint now) {
  expire(now);
  Requests.push_back(now);
}

RetryBudgetUsage RetryBudget::usage(std::optional<unsigned> maxEntryCount,
                                    base::TimePoint now) {
  expire(now);
  const double byRequests = Bound.Ratio * static_cast<double>(Requests.size());
  if (isYoung(now))
    return {Retries.size(), YoungRatioFraction * byRequests};
  const double slack =
      maxEntryCount ? Bound.Slack / std::max(1U, *maxEntryCount) : 0;
  return {Retries.size(), byRequests + slack};
}

bool RetryBudget::canRetry(std::optional<unsigned> maxEntryCount,
                           base::TimePoint now) {
  const RetryBudgetUsage used = usage(maxEntryCount, now);
  return static_cast<double>(used.Retries) + 1 <= used.MaxRetries;
}

bool RetryBudget::takeRetry(std::optional<unsigned> maxEntryCount,
                            base::TimePoint now) {
  if (!canRetry(maxEntryCount, now))
    return false;
  Retries.push_back(now);
  return true;
}

} // namespace bergamot::gateway
