#ifndef BERGAMOT_LIBBERGAMOTSTATE_APPENDTRACKER_H
#define BERGAMOT_LIBBERGAMOTSTATE_APPENDTRACKER_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>

namespace bergamot::state {

/// Tracks the single append that a writer has in flight. An append whose
/// response was lost is unconfirmed: it may still have taken effect, so the
/// stream must be read back to its end before the next append.
class AppendTracker {
public:
  /// `timeout` is how long to wait for the response to an append.
  /// `readBackInterval` is the time after which a read-back that has not
  /// finished is requested again.
  AppendTracker(base::Duration timeout, base::Duration readBackInterval);

  /// Returns whether an append may start.
  bool isIdle() const { return CurrentPhase == Phase::Idle; }

  /// Starts an append and returns its number. Numbers start at 1.
  std::uint64_t start(base::TimePoint now);

  /// Records that an append succeeded. Returns false if it is not the append in
  /// flight, or if it is already treated as unconfirmed.
  bool recordAppended(std::uint64_t appendNumber);

  /// Records that an append is unconfirmed: it failed, or its response was
  /// lost.
  void recordUnconfirmed(std::uint64_t appendNumber, base::TimePoint now);

  /// Records that a read-back reached the end of the stream. The read must have
  /// started after the read-back was requested. Returns false if no read-back
  /// of this append is in progress.
  bool finishReadBack(std::uint64_t appendNumber);

  /// Returns whether to request a read-back now, and schedules the next
  /// request. Treats the append as unconfirmed once its timeout has passed.
  bool takeReadBackRequest(base::TimePoint now);

  /// Returns the number of the last append.
  std::uint64_t appendNumber() const { return AppendNumber; }

  /// Returns whether an append has been in flight for at least this long,
  /// including its read-back.
  bool isInFlightFor(base::Duration duration, base::TimePoint now) const;

  /// Returns when takeReadBackRequest() must be called next, or
  /// TimePoint::max() if no append is in flight.
  base::TimePoint wakeAt() const;

private:
  enum class Phase { Idle, Sent, ReadBack };

  base::Duration Timeout;
  base::Duration ReadBackInterval;
  Phase CurrentPhase = Phase::Idle;
  std::uint64_t AppendNumber = 0;
  base::TimePoint SentAt;
  base::TimePoint ReadBackAt;
};

} // namespace bergamot::state

#endif
