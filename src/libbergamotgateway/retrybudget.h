#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_RETRYBUDGET_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_RETRYBUDGET_H

#include "libbergamotbase/timetypes.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace bergamot::gateway {

/// Limit on retries to one service over all entries: in any time span of length
/// Window, at most Ratio times the requests in that span plus Slack.
struct RetryBound {
  double Ratio = 0.2;
  double Slack = 0;
  base::Duration Window = std::chrono::seconds(10);
};

/// The state of a retry budget at a point in time.
struct RetryBudgetUsage {
  /// Retries that count at present.
  std::size_t Retries = 0;
  /// Maximum of Retries; retries are whole, so its fraction is unused.
  double MaxRetries = 0;
};

/// One entry's part of the retry bound. Requests are counted at the entry where
/// they arrive, so the ratio needs no division among the entries; the slack is
/// divided by the number of entries that may exist. Retries count for a whole
/// window but requests only for half a window, so that the bound holds however
/// a span of length Window is aligned: if requests counted for a whole window,
/// requests from before a span could permit all the retries in it.
///
/// The retries of an earlier process at this entry are unknown; it may have
/// used its whole budget just before it ended. For one window from its start, a
/// process therefore grants a part of the ratio for the requests since its
/// start and no slack, so that the sum over any number of starts stays within
/// the bound.
class RetryBudget {
public:
  /// `startedAt` is when the process started.
  RetryBudget(const RetryBound &bound, base::TimePoint startedAt)
      : Bound(bound), StartedAt(startedAt) {}

  /// Changes the bound. Requests and retries counted so far still count.
  void setBound(const RetryBound &bound) { Bound = bound; }
  void addRequest(base::TimePoint now);
  /// Returns whether the budget allows another retry. `maxEntryCount` is the
  /// number of entries that may exist; without it no slack is granted.
  bool canRetry(std::optional<unsigned> maxEntryCount, base::TimePoint now);
  /// Returns how much of the budget is used, for logs.
  RetryBudgetUsage usage(std::optional<unsigned> maxEntryCount,
                         base::TimePoint now);
  /// Takes one retry from the budget; returns false if the budget is exhausted.
  bool takeRetry(std::optional<unsigned> maxEntryCount, base::TimePoint now);

private:
  bool isYoung(base::TimePoint now) const {
    return now < StartedAt + Bound.Window;
  }
  void expire(base::TimePoint now);

  RetryBound Bound;
  base::TimePoint StartedAt;
  std::deque<base::TimePoint> Requests;
  std::deque<base::TimePoint> Retries;
};

} // namespace bergamot::gateway

#endif
