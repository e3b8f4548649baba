#ifndef BERGAMOT_LIBBERGAMOTUSAGE_CLOCKESTIMATE_H
#define BERGAMOT_LIBBERGAMOTUSAGE_CLOCKESTIMATE_H

#include "libbergamotbase/timetypes.h"

#include <map>
#include <string>
#include <vector>

namespace bergamot::usage {

/// Estimates the true time on a VM whose wall clock may jump: the median of the
/// clocks of all entries, as far as they have recently stated them. As long as
/// fewer than half of the clocks are wrong, the estimate is right.
class ClockEstimate {
public:
  /// Sets this VM's own clock, read at `now`.
  void setOwnClock(base::WallTime clock, base::TimePoint now);
  /// Sets the clock of another entry, as stated in a message that has just
  /// arrived.
  void setClock(const std::string &entry, base::WallTime clock,
                base::TimePoint now);
  /// Drops all readings of other entries, which are wrong after the monotonic
  /// clock has stopped for a while.
  void clear() { Clocks.clear(); }
  void removeExpired(base::TimePoint now);

  /// Returns the true time at a point on the monotonic clock.
  base::WallTime at(base::TimePoint time) const;
  /// Returns the other entries that have recently stated their clock.
  std::vector<std::string> entries() const;

private:
  /// A clock's lead over the local monotonic clock.
  struct Reading {
    base::Duration Lead{};
    base::TimePoint ExpiresAt;
  };

  void update();

  std::map<std::string, Reading> Clocks;
  base::Duration OwnLead{};
  base::Duration MedianLead{};
};

} // namespace bergamot::usage

#endif
