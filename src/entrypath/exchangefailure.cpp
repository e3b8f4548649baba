// The part of Exchange that handles failed attempts.
#include "entrypath/callerconnection.h"
#include "entrypath/entry.h"
#include "entrypath/exchange.h"

namespace bergamot::entrypath {

using gateway::AttemptFailure;
using gateway::RetryDecision;

void Exchange::handleAttemptFailure(AttemptFailure failure,
                                    const char *detail) {
  const auto self = shared_from_this();
  const bool mayHaveExecuted = failure == AttemptFailure::Lost ||
                               failure == AttemptFailure::ErrorResponse;
  if (mayHaveExecuted)
    ++PossiblyExecutedAttempts;
  if (failure == AttemptFailure::Misdirected)
    --Dispatches;
  FailedTargets.insert(Current->TargetId);
  Owner.recordFailure(Current->TargetId, failure);
  Owner.countAttemptFailure(failure, detail, ResponseStarted);
  log("attempt.failed", gateway::failureName(failure),
      Current->Parser.responseHead().Status, detail);
  if (Queued || !Standbys.empty()) {
    // Another attempt is in progress or will be.
    endAttempt();
    if (!Queued)
      resumeStandby();
    return;
  }
  switch (gateway::decideRetry(failedAttempt(failure))) {
  case RetryDecision::Retry:
    retry(failure);
    return;
  case RetryDecision::Reject:
    respondWithStatus(503, detail);
    return;
  case RetryDecision::RelayError:
    relayError();
    return;
  case RetryDecision::ReportUnknown:
    respondWithStatus(502, detail);
    return;
  case RetryDecision::AbortResponse:
    abortResponse(detail);
    return;
  }
}

/// Returns the current attempt as one that has failed.
gateway::FailedAttempt Exchange::failedAttempt(AttemptFailure failure) const {
  const bool isResumable =
      Route->Resumable && (!ResponseStarted || Events.isResumable());
  return {failure,           Route->Idempotency,       isResumable,
          ResponseStarted,   PossiblyExecutedAttempts, Dispatches,
          Route->MaxAttempts};
}

/// Returns whether a target that can be asked at once would get the request if
/// the current attempt were given up.
bool Exchange::canAskAnotherTarget() {
  return gateway::mayRetry(failedAttempt(AttemptFailure::Lost)) &&
         Owner.hasRetryBudget(Service) && Owner.hasFreeTarget(*this);
}

void Exchange::retry(AttemptFailure failure) {
  const bool consumesBudget = failure != AttemptFailure::NotSent;
  if (consumesBudget && !Owner.consumeRetryBudget(Service, failure)) {
    if (failure == AttemptFailure::ErrorResponse && !ResponseStarted)
      relayError();
    else
      rejectQueued("retry_budget");
    return;
  }
  endAttempt();
  Queued = true;
  Owner.enqueue(shared_from_this());
}

void Exchange::relayError() {
  if (ResponseStarted) {
    // The error's head and body would stand within the stream.
    abortResponse("error_in_stream");
    return;
  }
  const int status = Current->Parser.responseHead().Status;
  if (gateway::impliesNotExecuted(status)) {
    // This status would tell the caller that the request wasn't executed, which
    // the target hasn't confirmed.
    respondWithStatus(502, "unproven_refusal");
    return;
  }
  relayCompleteResponse("relayed_error", status);
}

} // namespace bergamot::entrypath
