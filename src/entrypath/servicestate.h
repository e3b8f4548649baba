#ifndef BERGAMOT_ENTRYPATH_SERVICESTATE_H
#define BERGAMOT_ENTRYPATH_SERVICESTATE_H

#include "libbergamotgateway/framinghabit.h"
#include "libbergamotgateway/ratewindow.h"
#include "libbergamotgateway/recentdurations.h"
#include "libbergamotgateway/retrybudget.h"
#include "libbergamotgateway/waitqueue.h"

#include <cstdint>
#include <map>
#include <memory>

namespace bergamot::entrypath {

class Exchange;

/// The queue of a service at an entry, and what its decisions depend on.
struct ServiceState {
  ServiceState(const gateway::RetryBound &retries, base::TimePoint startedAt)
      : Budget(retries, startedAt), StalledAt(startedAt) {}

  gateway::WaitQueue Queue;
  std::map<std::uint64_t, std::shared_ptr<Exchange>> QueuedExchanges;
  gateway::RetryBudget Budget;
  /// Retries that the budget has granted since the process started.
  std::uint64_t GrantedRetries = 0;
  gateway::RateWindow Dispatched;
  gateway::RateWindow LateDispatched;
  /// When the service was last seen stalled, or the process started.
  base::TimePoint StalledAt;
  /// Arrived requests that can still be served within their latency
  /// objective.
  gateway::RateWindow OnTimeArrivals;
  /// Of the requests that were served.
  gateway::RecentDurations Durations;
  gateway::FramingHabit Framing;
  bool QueueProcessingPosted = false;
  /// Requests wait for more slots than are free.
  bool SlotsContended = false;
};

} // namespace bergamot::entrypath

#endif
