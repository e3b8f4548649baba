#include "libbergamotstate/appendtracker.h"

namespace bergamot::state {

AppendTracker::AppendTracker(base::Duration timeout,
                             base::Duration readBackInterval)
    : Timeout(timeout), ReadBackInterval(readBackInterval) {}

std::uint64_t AppendTracker::start(base::TimePoint now) {
  State = Phase::Sent;
  SentAt = now;
  return ++Number;
}

bool AppendTracker::setAppended(std::uint64_t number) {
  if (State != Phase::Sent || number != Number)
    return false;
  State = Phase::Idle;
  return true;
}

void AppendTracker::setUnconfirmed(std::uint64_t number, base::TimePoint now) {
  if (State != Phase::Sent || number != Number)
    return;
  State = Phase::ReadBack;
  ReadBackAt = now;
}

bool AppendTracker::finishReadBack(std::uint64_t number) {
  if (State != Phase::ReadBack || number != Number)
    return false;
  State = Phase::Idle;
  return true;
}

bool AppendTracker::takeReadBack(base::TimePoint now) {
  if (State == Phase::Sent && now >= SentAt + Timeout)
    setUnconfirmed(Number, now);
  if (State != Phase::ReadBack || now < ReadBackAt)
    return false;
  ReadBackAt = now + ReadBackInterval;
  return true;
}

bool AppendTracker::isUnresolvedFor(base::Duration duration,
                                    base::TimePoint now) const {
  return State != Phase::Idle && now >= SentAt + duration;
}

base::TimePoint AppendTracker::wakeAt() const {
  if (State == Phase::Sent)
    return SentAt + Timeout;
  return State == Phase::ReadBack ? ReadBackAt : base::TimePoint::max();
}

} // namespace bergamot::state
