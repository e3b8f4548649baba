#include "libbergamotgateway/retrybudget.h"

#include <algorithm>

namespace bergamot::gateway {

void RetryBudget::expire(base::TimePoint now) {
  while (!Requests.empty() && Requests.front() + Bound.Window / 2 <= now)
    Requests.pop_front();
  while (!Repeats.empty() && Repeats.front() + Bound.Window <= now)
    Repeats.pop_front();
}

void RetryBudget::addRequest(base::TimePoint now) {
  expire(now);
  Requests.push_back(now);
}

bool RetryBudget::hasRepeat(unsigned entries, base::TimePoint now) {
  expire(now);
  const double most = Bound.Ratio * static_cast<double>(Requests.size()) +
                      Bound.Slack / std::max(1U, entries);
  return static_cast<double>(Repeats.size()) + 1 <= most;
}

bool RetryBudget::takeRepeat(unsigned entries, base::TimePoint now) {
  if (!hasRepeat(entries, now))
    return false;
  Repeats.push_back(now);
  return true;
}

} // namespace bergamot::gateway
