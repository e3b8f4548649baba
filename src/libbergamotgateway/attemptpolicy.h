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

/// Returns whether callers conclude from a response status that the request
/// wasn't executed.
bool impliesNotExecuted(int status);

/// A failed attempt and the state of its request.
struct FailedAttempt {
  AttemptFailure Failure = AttemptFailure::Lost;
  RequestIdempotency Idempotency = RequestIdempotency::NonIdempotent;
  /// Another target can continue the response where it broke off.
  bool Resumable = false;
  /// Part of the response has already been sent to the caller, with bytes of
  /// one target or more.
  bool ResponseStarted = false;
  /// Number of attempts, including this one, that may have executed the
  /// request.
  std::uint32_t PossibleExecutions = 0;
  /// Dispatches so far, including this one. Misdirected dispatches don't count.
  std::uint32_t Dispatches = 0;
  /// Maximum of Dispatches.
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

/// Returns whether the request may be sent to another target. A response in
/// progress may only be resumed, whatever the request: the other target's whole
/// response would follow the part that the caller already has. A request that
/// is neither idempotent nor resumable is retried only if no target can have
/// executed it.
bool mayRetry(const FailedAttempt &attempt);

/// Decides how to proceed after a failed attempt. A request is rejected as not
/// executed only if no target can have executed it.
RetryDecision decideRetry(const FailedAttempt &attempt);

} // namespace bergamot::gateway

#endif
