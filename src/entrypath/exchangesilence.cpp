// The part of Exchange that detects streams without progress and offers their
// rest to other targets.
#include "entrypath/entry.h"
#include "entrypath/exchange.h"

namespace bergamot::entrypath {

using base::TimePoint;
using gateway::AttemptFailure;
using std::chrono::milliseconds;

namespace {

/// Period of the checks of a silent stream that can't be resumed elsewhere yet.
constexpr milliseconds SilenceRecheckPeriod{200};

} // namespace

/// Schedules a check whether the target of a stream has become unreachable
/// while its group still makes progress, for example because the VM of its
/// sidecar is suspended. Without a retry, no more events would arrive and the
/// caller would disconnect.
void Exchange::scheduleSilenceCheck(TimePoint at) {
  SilenceTimer.expires_at(at);
  SilenceTimer.async_wait([self = shared_from_this(), number = Current->Number](
                              const boost::system::error_code &ec) {
    if (!ec && !self->Finished && self->isCurrent(number))
      self->checkSilence();
  });
}

void Exchange::checkSilence() {
  const TimePoint now = Owner.now();
  // What the target sends meanwhile isn't read.
  if (Current->Connection && !Current->Connection->isReading())
    Current->LastProgressAt = now;
  const TimePoint silentAt =
      Current->LastProgressAt + Owner.settings().StreamSilenceTimeout;
  if (now < silentAt) {
    scheduleSilenceCheck(silentAt);
    return;
  }
  // If the whole group is stalled, no other rank would respond either.
  if (!Current->Sent || !Owner.groups().isReady(Current->TargetGroup, now) ||
      !canAskAnotherTarget() ||
      !Owner.consumeRetryBudget(Service, AttemptFailure::Lost)) {
    scheduleSilenceCheck(now + SilenceRecheckPeriod);
    return;
  }
  Owner.recordUnresponsive(Current->TargetId);
  Owner.recordFailure(Current->TargetId, AttemptFailure::Lost);
  FailedTargets.insert(Current->TargetId);
  ++PossiblyExecutedAttempts;
  log("attempt.silent", "standby", 0);
  makeStandby();
  Queued = true;
  Owner.enqueue(shared_from_this());
}

std::set<std::string> Exchange::busyTargets() const {
  std::set<std::string> targets;
  if (Current)
    targets.insert(Current->TargetId);
  for (const auto &it : Standbys)
    targets.insert(it->TargetId);
  return targets;
}

void Exchange::makeStandby() {
  Events.swapPartialEvent(Current->PartialEvent);
  Standbys.push_back(std::move(Current));
}

void Exchange::makeCurrent(std::unique_ptr<Attempt> attempt) {
  Current = std::move(attempt);
  Events.dropPartialEvent();
  Events.swapPartialEvent(Current->PartialEvent);
}

/// Removes a standby and returns it; null if there is none with this number.
std::unique_ptr<Attempt> Exchange::takeStandby(std::uint64_t number) {
  const auto it =
      std::find_if(Standbys.begin(), Standbys.end(), [&](const auto &standby) {
        return standby->Number == number;
      });
  if (it == Standbys.end())
    return nullptr;
  auto attempt = std::move(*it);
  Standbys.erase(it);
  return attempt;
}

/// Continues with the attempt that became a standby last, as no other target
/// has taken the stream over.
void Exchange::resumeStandby() {
  makeCurrent(takeStandby(Standbys.back()->Number));
  scheduleSilenceCheck(Owner.now() + SilenceRecheckPeriod);
}

/// Ends all attempts but the current one, which has sent an event.
void Exchange::endOtherAttempts() {
  if (Standbys.empty() && !Queued)
    return;
  if (std::exchange(Queued, false))
    Owner.withdraw(*this);
  for (auto &it : std::exchange(Standbys, {}))
    closeAttempt(std::move(it));
  scheduleSilenceCheck(Current->LastProgressAt +
                       Owner.settings().StreamSilenceTimeout);
}

/// Makes an attempt the current one while `action` handles what has happened on
/// its connection. An attempt that was a standby becomes one again, unless it
/// has ended or sent an event.
void Exchange::withAttempt(std::uint64_t number,
                           const std::function<void()> &action) {
  const auto self = shared_from_this();
  if (isCurrent(number)) {
    action();
    return;
  }
  auto attempt = takeStandby(number);
  if (!attempt)
    return;
  const std::uint64_t previous = Current ? Current->Number : 0;
  if (Current)
    makeStandby();
  makeCurrent(std::move(attempt));
  action();
  const bool isStandby = Queued || !Standbys.empty();
  if (Finished || !isCurrent(number) || !isStandby)
    return;
  makeStandby();
  if (auto resumed = takeStandby(previous))
    makeCurrent(std::move(resumed));
}

} // namespace bergamot::entrypath
