#ifndef BERGAMOT_LIBBERGAMOTWIRE_HEARTBEAT_H
#define BERGAMOT_LIBBERGAMOTWIRE_HEARTBEAT_H

#include "libbergamotbase/timetypes.h"

#include <chrono>

namespace bergamot::wire {

/// When to send a heartbeat on a connection and when to give it up.
struct HeartbeatRules {
  std::chrono::milliseconds Interval{500};
  std::chrono::milliseconds Timeout{1500};
};

/// Tracks one connection. A connection whose path lost its state stays open
/// but silent, so only received frames count as signs of life.
class HeartbeatMonitor {
public:
  HeartbeatMonitor(HeartbeatRules rules, base::TimePoint now)
      : Rules(rules), SendAt(now + rules.Interval),
        DeadAt(now + rules.Timeout) {}

  void frameReceived(base::TimePoint now) { DeadAt = now + Rules.Timeout; }
  void heartbeatSent(base::TimePoint now) { SendAt = now + Rules.Interval; }

  bool isSendDue(base::TimePoint now) const { return now >= SendAt; }
  bool isDead(base::TimePoint now) const { return now >= DeadAt; }

private:
  HeartbeatRules Rules;
  base::TimePoint SendAt;
  base::TimePoint DeadAt;
};

} // namespace bergamot::wire

#endif
