#ifndef BERGAMOT_LIBBERGAMOTSTATE_APPENDTRACKER_H
#define BERGAMOT_LIBBERGAMOTSTATE_APPENDTRACKER_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>

namespace bergamot::state {

/// Follows the one append that a writer has under way. An append without a
/// response may have taken effect, so the stream is read back to its end
/// before anything else is appended.
class AppendTracker {
public:
  /// Takes how long a response is awaited, and how often an unanswered
  /// read-back is asked for again.
  AppendTracker(base::Duration timeout, base::Duration readBackInterval);

  /// Returns whether an append may start.
  bool isIdle() const { return State == Phase::Idle; }

  /// Starts an append and returns its number, counted from 1.
  std::uint64_t start(base::TimePoint now);

  /// Takes the response of an append. Returns false if the append is not the
  /// one under way or was given up on before.
  bool setAppended(std::uint64_t number);

  /// Takes an error, or a lost response, of an append.
  void setUnconfirmed(std::uint64_t number, base::TimePoint now);

  /// Takes the end of a read-back: a read that started after the read-back was
  /// asked for has reached the end of the stream. Returns false if no
  /// read-back of this append is under way.
  bool finishReadBack(std::uint64_t number);

  /// Returns whether the read-back must be asked for now, and notes that it
  /// was. Gives up on the response when it is overdue.
  bool takeReadBack(base::TimePoint now);

  /// Returns the number of the last append.
  std::uint64_t number() const { return Number; }

  /// Returns whether the log has left an append without an answer, or the
  /// read-back after it, for at least this long.
  bool isUnresolvedFor(base::Duration duration, base::TimePoint now) const;

  /// Returns when takeReadBack() must be called next, or the largest time.
  base::TimePoint wakeAt() const;

private:
  enum class Phase { Idle, Sent, ReadBack };

  base::Duration Timeout;
  base::Duration ReadBackInterval;
  Phase State = Phase::Idle;
  std::uint64_t Number = 0;
  base::TimePoint SentAt;
  base::TimePoint ReadBackAt;
};

} // namespace bergamot::state

#endif
