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

bool promisesNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

AttemptVerdict verdictFor(const FailedAttempt &failed) {
  const bool mayRepeat =
      failed.Rule == RepeatRule::Idempotent || failed.Resumable;
  const bool notExecuted =
      provesNotExecuted(failed.Failure) && failed.ExecutedAttempts == 0;
  const bool attemptsLeft = failed.Dispatches < failed.MaxAttempts;
  if (attemptsLeft && (mayRepeat || notExecuted))
    return AttemptVerdict::TryAgain;
  if (failed.ResponseStarted)
    return AttemptVerdict::CutResponse;
  if (failed.Failure == AttemptFailure::ErrorResponse)
    return AttemptVerdict::RelayError;
  return notExecuted ? AttemptVerdict::Reject : AttemptVerdict::AnswerUnknown;
}

} // namespace bergamot::gateway
