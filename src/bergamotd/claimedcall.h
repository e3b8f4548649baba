#ifndef BERGAMOT_BERGAMOTD_CLAIMEDCALL_H
#define BERGAMOT_BERGAMOTD_CLAIMEDCALL_H

#include "adapterhttp/httpresponder.h"
#include "bergamotd/auditwriter.h"
#include "bergamotd/callrunner.h"
#include "bergamotd/claimservice.h"

namespace bergamot::bergamotd {

/// A non-idempotent call with an idempotency key: it is dispatched only by
/// the holder of the claim, and its outcome is recorded.
class ClaimedCall : public DispatchGate {
public:
  ClaimedCall(ClaimService &claims, const CallerRequest &call,
              AuditWriter &audit);

  /// Claims the key. Returns true if the call may run. If the key's outcome
  /// is known, sends it and returns false. Throws ProblemError otherwise.
  bool start(adapterhttp::HttpResponder &responder);

  bool takeDispatchPermit() override;
  void setRefused() override;

  /// Records the end of a call that ran.
  void setDone(const CallResult &result);

  /// Records the end of a call that failed: frees the key if nothing was
  /// executed, else records that the outcome is unknown.
  void setFailed(const ProblemError &problem);

private:
  void replay(const state::Outcome &outcome,
              adapterhttp::HttpResponder &responder) const;

  ClaimService &Claims;
  const CallerRequest &Call;
  AuditWriter &Audit;
  state::ClaimId Id;
};

} // namespace bergamot::bergamotd

#endif
