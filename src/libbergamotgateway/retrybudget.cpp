#include "libbergamotgateway/retrybudget.h"

#include <algorithm>

namespace bergamot::gateway {

void RetryBudget::expire(base::TimePoint now) {
  while (!Requests.empty() && Requests.front() + Bound.Window / 2 <= now)
    Requests.pop_front();
  while (!Retries.empty() && Retries.front() + Bound.Window <= now)
    Retries.pop_front();
}

void RetryBudget::addRequest(base::TimePoint now) {
  expire(now);
  Requests.push_back(now);
}

RetryBudgetUsage RetryBudget::usage(unsigned maxEntryCount,
                                    base::TimePoint now) {
  expire(now);
  const double maxRetries = Bound.Ratio * static_cast<double>(Requests.size()) +
                            Bound.Slack / std::max(1U, maxEntryCount);
  return {Retries.size(), maxRetries};
}

bool RetryBudget::canRetry(unsigned maxEntryCount, base::TimePoint now) {
  const RetryBudgetUsage used = usage(maxEntryCount, now);
  return static_cast<double>(used.Retries) + 1 <= used.MaxRetries;
}

bool RetryBudget::takeRetry(unsigned maxEntryCount, base::TimePoint now) {
  if (!canRetry(maxEntryCount, now))
    return false;
  Retries.push_back(now);
  return true;
}

} // namespace bergamot::gateway
