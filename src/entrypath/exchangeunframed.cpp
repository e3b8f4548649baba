// The part of Exchange that handles responses without a length: only the end of
// their connection shows where they end.
#include "adaptertcp/responsesearch.h"
#include "entrypath/entry.h"
#include "entrypath/exchange.h"

namespace bergamot::entrypath {

using adaptertcp::HeadExtent;
using adaptertcp::ProbeResult;
using base::TimePoint;
using gateway::AttemptFailure;
using std::chrono::milliseconds;

namespace {

/// Time within which a target that runs accepts a connection.
constexpr milliseconds ProbeTimeout{400};

} // namespace

/// Returns whether the current response is a success that ends with its
/// connection.
bool Exchange::isUnframedSuccess() const {
  const int status = Current->Parser.responseHead().Status;
  return Current->Parser.endsWithConnection() && status >= 200 && status <= 299;
}

/// Decides on an unframed response whose connection has ended. A target that
/// has ended closes its connections like one whose response is complete, and
/// bytes that belong to no response may come before the end.
void Exchange::verifyUnframedResponse() {
  const bool isUsual = Owner.framing(Service).isUsuallyUnframed();
  if (!Route->Streaming)
    Owner.framing(Service).add(false);
  if (adaptertcp::findResponseHead(Current->Parser.body(),
                                   HeadExtent::MaybeCut)) {
    handleAttemptFailure(AttemptFailure::Lost, "second_response");
    return;
  }
  // Another target may state a length.
  if (!Route->Streaming && !isUsual && canAskAnotherTarget()) {
    handleAttemptFailure(AttemptFailure::Lost, "unframed");
    return;
  }
  Owner.countNewConnection();
  const TimePoint by = std::min(Deadline, Owner.now() + ProbeTimeout);
  Owner.pool().probe(
      Current->TargetAddress, by,
      [self = shared_from_this(), number = Current->Number](ProbeResult it) {
        self->withAttempt(number, [&] { self->onTargetProbed(it); });
      });
}

void Exchange::onTargetProbed(ProbeResult result) {
  if (result == ProbeResult::Accepted) {
    onResponseComplete();
    return;
  }
  if (!Current->Begun)
    Owner.checkForCrash(Current->TargetId, Current->TargetStartedAtMs,
                        Current->TargetAddress, PromptParts);
  handleAttemptFailure(AttemptFailure::Lost, "target_ended");
}

} // namespace bergamot::entrypath
