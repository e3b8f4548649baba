// The part of Exchange that notices when a target has fallen silent in a
// stream.
#include "entrypath/entry.h"
#include "entrypath/exchange.h"

namespace bergamot::entrypath {

using base::TimePoint;
using gateway::AttemptFailure;
using std::chrono::milliseconds;

namespace {

/// Time between looks at a silent stream that can't go on elsewhere yet.
constexpr milliseconds SilenceRecheck{200};

} // namespace

/// Looks after a stream whose target can't be reached any more though its
/// group goes on, as when the VM beside it stands still: its events don't come,
/// and its caller would leave.
void Exchange::watchSilence(TimePoint at) {
  SilenceTimer.expires_at(at);
  SilenceTimer.async_wait([self = shared_from_this(), attempt = AttemptNumber](
                              const boost::system::error_code &ec) {
    if (!ec && !self->Finished && attempt == self->AttemptNumber)
      self->checkSilence();
  });
}

void Exchange::checkSilence() {
  const TimePoint now = Owner.now();
  const TimePoint silentAt = HeardAt + Owner.settings().SilentAfter;
  if (now < silentAt) {
    watchSilence(silentAt);
    return;
  }
  if (!mayLeaveSilentTarget()) {
    watchSilence(now + SilenceRecheck);
    return;
  }
  Owner.noteSilence(TargetId);
  attemptFailed(AttemptFailure::Lost, "silent");
}

/// Returns whether the stream can go on at another target. A group that stands
/// still as a whole answers nowhere.
bool Exchange::mayLeaveSilentTarget() const {
  const bool repeatable =
      ResponseStarted ? Route->Resumable : Route->mayRepeat();
  return repeatable && Dispatches < Route->MaxAttempts &&
         Owner.groups().isMoving(TargetGroup, Owner.now()) &&
         Owner.hasRepeat(Service);
}

} // namespace bergamot::entrypath
