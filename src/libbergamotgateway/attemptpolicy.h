#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_ATTEMPTPOLICY_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_ATTEMPTPOLICY_H

#include "libbergamotgateway/routetable.h"

#include <cstdint>

namespace bergamot::gateway {

/// How an attempt failed to get a usable response from a target.
enum class AttemptFailure {
  /// No byte of the request was sent.
  NotSent,
  /// The target states that it hasn't executed the request and won't.
  Refused,
  /// A different target now has the address; the request wasn't executed.
  Misdirected,
  /// The target executed the request and returned an error.
  ErrorResponse,
  /// The response is missing or malformed; the request may have been executed.
  Lost,
};

/// Returns the name of a failure as written to the log.
const char *failureName(AttemptFailure failure);

/// Returns whether callers take a response status to mean that the request
/// wasn't executed.
bool impliesNotExecuted(int status);

/// A failed attempt and the state of its request.
struct FailedAttempt {
  AttemptFailure Failure = AttemptFailure::Lost;
  RepeatRule Rule = RepeatRule::NonIdempotent;
  bool Resumable = false;
  /// Part of the response has already been sent to the caller.
  bool ResponseStarted = false;
  /// Targets that may have executed the request, including this one.
  std::uint32_t ExecutedAttempts = 0;
  /// Dispatches so far, including this one. Dispatches that a different
  /// instance at the address turned away (Misdirected) don't count.
  std::uint32_t Dispatches = 0;
  std::uint32_t MaxAttempts = 1;
};

/// The action to take after a failed attempt.
enum class RetryDecision {
  /// Send the request to another target, if the retry budget allows it.
  Retry,
  /// Respond that the request wasn't executed and may be retried.
  Reject,
  /// Respond that the outcome is unknown.
  ReportUnknown,
  /// Forward the target's error response.
  RelayError,
  /// Abort the response in progress so that the caller sees that it is
  /// incomplete.
  AbortResponse,
};

/// Decides how to proceed after a failed attempt. A non-idempotent request that
/// can't be resumed is retried or rejected as not executed only if no target
/// can have executed it.
RetryDecision decideRetry(const FailedAttempt &attempt);

} // namespace bergamot::gateway

#endif
