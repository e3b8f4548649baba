#ifndef BERGAMOT_BERGAMOTD_AUDITRECORDS_H
#define BERGAMOT_BERGAMOTD_AUDITRECORDS_H

#include "bergamotd/activeconfig.h"
#include "bergamotd/callrunner.h"
#include "libbergamotconfig/verdict.h"
#include "libbergamotstate/auditrecord.h"
#include "libbergamotstate/claimrecord.h"

#include <optional>

namespace bergamot::bergamotd {

/// Returns the record of a verdict on a change. Snapshots, repetitions and
/// records that are not decided yet have none.
std::optional<state::AuditRecord> verdictRecord(const config::Verdict &verdict);

/// Returns the record of the configuration that is put in force.
state::AuditRecord inForceRecord(const ActiveConfig &active,
                                 const char *source);

/// Returns the record of a claim on an idempotency key. Of the key, only its
/// hash is recorded.
state::AuditRecord claimRecord(const CallerRequest &call,
                               const state::ClaimId &id, const char *answer);

/// Returns the record of how a claimed call ended; status 0 means that no
/// answer is known.
state::AuditRecord outcomeRecord(const CallerRequest &call,
                                 const state::ClaimId &id, int status,
                                 Executed executed);

/// Returns the summary of how a call was routed and served.
state::AuditRecord routeRecord(const CallerRequest &call,
                               const CallResult &result,
                               base::Duration elapsed);

/// Returns the record of a target's removed domain, leaving, or return.
state::AuditRecord targetStateRecord(const base::TargetId &target,
                                     base::ConfigVersion version,
                                     bool isDomainRemoved, bool isLeaving);

/// Returns the record of a target's lowered concurrency limit.
state::AuditRecord creditLimitRecord(const base::TargetId &target,
                                     const char *cause, std::uint32_t slots);

} // namespace bergamot::bergamotd

#endif
