#include "libbergamotgateway/attemptpolicy.h"

namespace bergamot::gateway {

namespace {

bool provesNotExecuted(AttemptFailure failure) {
  return failure == AttemptFailure::NotSent ||
         failure == AttemptFailure::Refused ||
         failure == AttemptFailure::Misdirected;
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

RetryDecision decideRetry(const FailedAttempt &attempt) {
  const bool isRetryable =
      attempt.Idempotency == RequestIdempotency::Idempotent ||
      attempt.Resumable;
  const bool notExecuted =
      provesNotExecuted(attempt.Failure) && attempt.PossibleExecutions == 0;
  const bool attemptsLeft = attempt.Dispatches < attempt.MaxAttempts;
  if (attemptsLeft && (isRetryable || notExecuted))
    return RetryDecision::Retry;
  if (attempt.ResponseStarted)
    return RetryDecision::AbortResponse;
  if (attempt.Failure == AttemptFailure::ErrorResponse)
    return RetryDecision::RelayError;
  return notExecuted ? RetryDecision::Reject : RetryDecision::ReportUnknown;
}

} // namespace bergamot::gateway
