// The part of Exchange that detects streams without progress.
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
  const TimePoint silentAt =
      Current->LastProgressAt + Owner.settings().StreamSilenceTimeout;
  if (now < silentAt) {
    scheduleSilenceCheck(silentAt);
    return;
  }
  if (!canRetryElsewhere()) {
    scheduleSilenceCheck(now + SilenceRecheckPeriod);
    return;
  }
  Owner.recordUnresponsive(Current->TargetId);
  handleAttemptFailure(AttemptFailure::Lost, "silent");
}

/// Returns whether the request can be retried or resumed at another target. If
/// the whole group is stalled, no other rank would respond either.
bool Exchange::canRetryElsewhere() const {
  const bool repeatable =
      ResponseStarted ? Route->Resumable : Route->isRetryable();
  return repeatable && Dispatches < Route->MaxAttempts &&
         Owner.groups().isReady(Current->TargetGroup, Owner.now()) &&
         Owner.hasRetryBudget(Service);
}

} // namespace bergamot::entrypath
