#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_RATEWINDOW_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_RATEWINDOW_H

#include "libbergamotbase/timetypes.h"

#include <deque>

namespace bergamot::gateway {

/// Counts events in a sliding window of one second. Timestamps outside the
/// window are discarded on each insertion, so that memory stays bounded even if
/// the count is never read.
class RateWindow {
public:
  void add(base::TimePoint now) {
    expire(now);
    Times.push_back(now);
  }
  /// Returns the number of events in the second that ends now.
  std::size_t count(base::TimePoint now) {
    expire(now);
    return Times.size();
  }
  std::size_t storedCount() const { return Times.size(); }

private:
  void expire(base::TimePoint now) {
    while (!Times.empty() && Times.front() + std::chrono::seconds(1) <= now)
      Times.pop_front();
  }

  std::deque<base::TimePoint> Times;
};

} // namespace bergamot::gateway

#endif
