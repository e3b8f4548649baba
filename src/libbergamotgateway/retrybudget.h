#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_RETRYBUDGET_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_RETRYBUDGET_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <deque>

namespace bergamot::gateway {

/// The bound on repeated dispatches to one service, over all entries: in any
/// span of Window at most Ratio times the requests of that span plus Slack.
struct RetryBound {
  double Ratio = 0.2;
  double Slack = 0;
  base::Duration Window = std::chrono::seconds(10);
};

/// One entry's part of the bound. Requests are counted where they arrive, so
/// their ratio needs no division; the slack is divided by the number of
/// entries that may exist. Repeats count for a whole window and requests only
/// while they are younger than half a window, so that no alignment of the
/// judged span can see more than the bound.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBound &bound) : Bound(bound) {}

  /// Changes the bound; what was counted so far still counts.
  void setBound(const RetryBound &bound) { Bound = bound; }
  void addRequest(base::TimePoint now);
  /// Returns whether a repeat is left in the budget.
  bool canRetry(unsigned entryCount, base::TimePoint now);
  /// Takes one repeat from the budget; returns false if there is none left.
  bool takeRetry(unsigned entryCount, base::TimePoint now);

private:
  void expire(base::TimePoint now);

  RetryBound Bound;
  std::deque<base::TimePoint> Requests;
  std::deque<base::TimePoint> Retries;
};

} // namespace bergamot::gateway

#endif
