#include "libbergamotstate/appendtracker.h"

namespace bergamot::state {

AppendTracker::AppendTracker(base::Duration timeout,
                             base::Duration readBackInterval)
    : Timeout(timeout), ReadBackInterval(readBackInterval) {}

std::uint64_t AppendTracker::start(base::TimePoint now) {
  CurrentPhase = Phase::Sent;
  SentAt = now;
  return ++AppendNumber;
}

bool AppendTracker::recordAppended(std::uint64_t appendNumber) {
  if (CurrentPhase != Phase::Sent || appendNumber != AppendNumber)
    return false;
  CurrentPhase = Phase::Idle;
  return true;
}

void AppendTracker::recordUnconfirmed(std::uint64_t appendNumber,
                                      base::TimePoint now) {
  if (CurrentPhase != Phase::Sent || appendNumber != AppendNumber)
    return;
  CurrentPhase = Phase::ReadBack;
  ReadBackAt = now;
}

bool AppendTracker::finishReadBack(std::uint64_t appendNumber) {
  if (CurrentPhase != Phase::ReadBack || appendNumber != AppendNumber)
    return false;
  CurrentPhase = Phase::Idle;
  return true;
}

bool AppendTracker::takeReadBackRequest(base::TimePoint now) {
  if (CurrentPhase == Phase::Sent && now >= SentAt + Timeout)
    recordUnconfirmed(AppendNumber, now);
  if (CurrentPhase != Phase::ReadBack || now < ReadBackAt)
    return false;
  ReadBackAt = now + ReadBackInterval;
  return true;
}

bool AppendTracker::isInFlightFor(base::Duration duration,
                                  base::TimePoint now) const {
  return CurrentPhase != Phase::Idle && now >= SentAt + duration;
}

base::TimePoint AppendTracker::wakeAt() const {
  if (CurrentPhase == Phase::Sent)
    return SentAt + Timeout;
  return CurrentPhase == Phase::ReadBack ? ReadBackAt : base::TimePoint::max();
}

} // namespace bergamot::state
