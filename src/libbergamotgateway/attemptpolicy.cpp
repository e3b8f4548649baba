#include "libbergamotgateway/attemptpolicy.h"

namespace bergamot::gateway {

namespace {

bool provesNotExecuted(AttemptFailure failure) {
  return failure == AttemptFailure::NotSent ||
         failure == AttemptFailure::Refused ||
         failure == AttemptFailure::Misdirected;
}

/// Returns whether no target has executed the request.
bool isKnownNotExecuted(const FailedAttempt &attempt) {
  return provesNotExecuted(attempt.Failure) && attempt.PossibleExecutions == 0;
}

} // namespace

const char *failureName(AttemptFailure failure) {
  switch (failure) {
  case AttemptFailure::NotSent:
    return "not_sent";
  case AttemptFailure::Refused:
    return "refused";
  case AttemptFailure::Misdirected:
    return "misdirected";
  case AttemptFailure::ErrorResponse:
    return "error_response";
  case AttemptFailure::Lost:
    return "lost";
  }
  return "";
}

bool impliesNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool mayRetry(const FailedAttempt &attempt) {
  if (attempt.Dispatches >= attempt.MaxAttempts)
    return false;
  if (attempt.ResponseStarted)
    return attempt.Resumable;
  return attempt.Idempotency == RequestIdempotency::Idempotent ||
         attempt.Resumable || isKnownNotExecuted(attempt);
}

RetryDecision decideRetry(const FailedAttempt &attempt) {
  if (mayRetry(attempt))
    return RetryDecision::Retry;
  if (attempt.ResponseStarted)
    return RetryDecision::AbortResponse;
  if (attempt.Failure == AttemptFailure::ErrorResponse)
    return RetryDecision::RelayError;
  return isKnownNotExecuted(attempt) ? RetryDecision::Reject
                                     : RetryDecision::ReportUnknown;
}

} // namespace bergamot::gateway
