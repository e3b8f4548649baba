#ifndef BERGAMOT_LIBBERGAMOTWIRE_HEARTBEAT_H
#define BERGAMOT_LIBBERGAMOTWIRE_HEARTBEAT_H

#include "libbergamotbase/timetypes.h"

#include <chrono>

namespace bergamot::wire {

/// Interval at which heartbeats are sent, and time without received data after
/// which a connection is closed.
struct HeartbeatSettings {
  std::chrono::milliseconds Interval{500};
  std::chrono::milliseconds Timeout{1500};
};

/// Tracks the liveness of a connection. If a device on the path loses the
/// connection's state, the socket stays open but nothing arrives, so only
/// received data counts, not successful sends.
class HeartbeatMonitor {
public:
  HeartbeatMonitor(HeartbeatSettings settings, base::TimePoint now)
      : Settings(settings), NextSendTime(now + settings.Interval),
        ReceiveDeadline(now + settings.Timeout) {}

  void dataReceived(base::TimePoint now) {
    ReceiveDeadline = now + Settings.Timeout;
  }
  void heartbeatSent(base::TimePoint now) {
    NextSendTime = now + Settings.Interval;
  }

  bool isSendDue(base::TimePoint now) const { return now >= NextSendTime; }
  bool isTimedOut(base::TimePoint now) const { return now >= ReceiveDeadline; }

private:
  HeartbeatSettings Settings;
  base::TimePoint NextSendTime;
  base::TimePoint ReceiveDeadline;
};

} // namespace bergamot::wire

#endif
