#include "bergamotd/claimedcall.h"

#include "bergamotd/auditrecords.h"
#include "bergamotd/respond.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

namespace bergamot::bergamotd {

using base::Step;
using state::ClaimState;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds InProgressRetryAfter{1000};
constexpr std::chrono::milliseconds LogDownRetryAfter{2000};

const char *claimStateName(ClaimState value) {
  switch (value) {
  case ClaimState::Free:
    return "free";
  case ClaimState::Won:
    return "won";
  case ClaimState::InProgress:
    return "in progress";
  case ClaimState::Completed:
    return "completed";
  case ClaimState::Unknown:
    return "unknown";
  case ClaimState::FingerprintMismatch:
    return "mismatch";
  case ClaimState::Undecided:
    break;
  }
  return "undecided";
}

} // namespace

ClaimedCall::ClaimedCall(ClaimService &claims, const CallerRequest &call,
                         AuditWriter &audit)
    : Claims(claims), Call(call), Audit(audit) {}

bool ClaimedCall::start(adapterhttp::HttpResponder &responder) {
  const ClaimTicket ticket = Claims.claim(Call);
  Id = ticket.Id;
  base::logDecision("claim.decided",
                    {{"request", Call.Request.Value},
                     {"account", Call.Account.Value},
                     {"service", Call.Service.Value},
                     {"claim", state::toText(Id)},
                     {"state", claimStateName(ticket.Answer.State)}});
  Audit.add(claimRecord(Call, Id, claimStateName(ticket.Answer.State)));
  switch (ticket.Answer.State) {
  case ClaimState::Won:
    return true;
  case ClaimState::Completed:
    replay(ticket.Answer.RequestOutcome, responder);
    return false;
  case ClaimState::FingerprintMismatch:
    throw ProblemError(422, Step::Claim, "",
                       "the idempotency key was used for another request");
  case ClaimState::InProgress:
    throw ProblemError(409, Step::Claim, "",
                       "a request with this idempotency key is in progress",
                       Executed::Unknown)
        .retryAfter(InProgressRetryAfter);
  case ClaimState::Unknown:
    throw ProblemError(409, Step::Claim, "",
                       "the outcome of the first request with this idempotency "
                       "key is unknown; it will not be executed again",
                       Executed::Unknown);
  case ClaimState::Free:
  case ClaimState::Undecided:
    break;
  }
  throw ProblemError(503, Step::Claim, "claims",
                     "the platform's log did not decide the claim in time")
      .retryAfter(LogDownRetryAfter);
}

void ClaimedCall::replay(const state::Outcome &outcome,
                         adapterhttp::HttpResponder &responder) const {
  if (!outcome.BodyStored)
    throw ProblemError(409, Step::Claim, "",
                       "the request was executed with status " +
                           std::to_string(outcome.Status) +
                           "; its response was too large to keep",
                       Executed::Yes);
  responder.respond(outcome.Status,
                    {{"Content-Type", outcome.ContentType},
                     {"X-Request-Id", Call.CallerRequestId},
                     {"Idempotency-Replayed", "true"}},
                    outcome.Body, steady_clock::now() + ShortResponseTimeout);
}

bool ClaimedCall::takeDispatchPermit() { return Claims.takeDispatchPermit(Id); }

void ClaimedCall::setRefused() { Claims.setRefused(Id); }

void ClaimedCall::setDone(const CallResult &result) {
  Audit.add(outcomeRecord(Call, Id, result.Status, result.ExecutedState));
  if (result.Status != 0 && result.Bytes == result.Body.size()) {
    Claims.addOutcome(
        Id, state::makeOutcome(result.Status, result.ContentType, result.Body));
    return;
  }
  state::Outcome outcome;
  outcome.Status = result.Status;
  outcome.ContentType = result.ContentType;
  Claims.addOutcome(Id, outcome);
}

void ClaimedCall::setFailed(const ProblemError &problem) {
  Audit.add(outcomeRecord(Call, Id, 0, problem.executed()));
  if (problem.executed() == Executed::No)
    Claims.addWithdrawal(Id);
  else
    Claims.addOutcome(Id, {});
}

} // namespace bergamot::bergamotd
