#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_ATTEMPTPOLICY_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_ATTEMPTPOLICY_H

#include "libbergamotgateway/routetable.h"

#include <cstdint>

namespace bergamot::gateway {

/// How an attempt at a target ended without a usable response.
enum class AttemptFailure {
  /// No byte of the request was sent.
  NotSent,
  /// The target says that it hasn't executed the request and won't.
  Refused,
  /// Another target has the address now; nothing was executed.
  Misdirected,
  /// The target answered with an error after executing the request.
  ErrorResponse,
  /// The response is missing or damaged; the request may have been executed.
  Lost,
};

/// Returns the name of a failure for logs.
const char *failureName(AttemptFailure failure);

/// Returns whether callers take a status as a promise that the request wasn't
/// executed.
bool impliesNotExecuted(int status);

/// What is known when an attempt has failed.
struct FailedAttempt {
  AttemptFailure Failure = AttemptFailure::Lost;
  RepeatRule Rule = RepeatRule::NonIdempotent;
  bool Resumable = false;
  /// The caller has received part of the response.
  bool ResponseStarted = false;
  /// Targets that may have executed the request, this one included.
  std::uint32_t ExecutedAttempts = 0;
  /// Dispatches so far, this one included; those that another instance at
  /// the address turned away don't count.
  std::uint32_t Dispatches = 0;
  std::uint32_t MaxAttempts = 1;
};

/// What follows a failed attempt.
enum class RetryDecision {
  /// Send the request to another target, if the retry budget allows it.
  Retry,
  /// Answer that the request wasn't executed and may be sent again.
  Reject,
  /// Answer that the outcome is unknown.
  ReportUnknown,
  /// Pass on the target's error response.
  RelayError,
  /// End the response that has started, visibly incomplete.
  AbortResponse,
};

/// Decides what follows a failed attempt. A request that must not be executed
/// twice is sent again only if no target can have executed it, and is
/// rejected as not executed only in that case.
RetryDecision decideRetry(const FailedAttempt &attempt);

} // namespace bergamot::gateway

#endif
