#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_RATEWINDOW_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_RATEWINDOW_H

#include "libbergamotbase/timetypes.h"

#include <deque>

namespace bergamot::gateway {

/// Counts events in a sliding second.
class RateWindow {
public:
  void add(base::TimePoint now) { Times.push_back(now); }
  /// Returns the number of events in the second that ends now.
  std::size_t count(base::TimePoint now) {
    while (!Times.empty() && Times.front() + std::chrono::seconds(1) <= now)
      Times.pop_front();
    return Times.size();
  }

private:
  std::deque<base::TimePoint> Times;
};

} // namespace bergamot::gateway

#endif
