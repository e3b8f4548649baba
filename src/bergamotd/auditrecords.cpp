#include "bergamotd/auditrecords.h"

#include <nlohmann/json.hpp>

namespace bergamot::bergamotd {

using config::VerdictKind;
using nlohmann::json;
using state::AuditKind;
using state::AuditRecord;

namespace {

/// Ids and JSON come from callers too, so bytes that aren't UTF-8 are replaced.
std::string dump(const json &detail) {
  return detail.dump(-1, ' ', false, json::error_handler_t::replace);
}

AuditRecord makeRecord(AuditKind kind, const json &detail) {
  AuditRecord record;
  record.Kind = kind;
  record.Detail = dump(detail);
  return record;
}

AuditRecord makeCallRecord(AuditKind kind, const CallerRequest &call,
                           const json &detail) {
  AuditRecord record = makeRecord(kind, detail);
  record.Request = call.Request;
  record.Account = call.Account;
  if (!call.IdempotencyKey.empty())
    record.KeyHash = state::toText(
        state::claimKey(call.Account, call.Service, call.IdempotencyKey));
  return record;
}

} // namespace

std::optional<AuditRecord> verdictRecord(const config::Verdict &verdict) {
  if (verdict.Kind == VerdictKind::Duplicate ||
      verdict.Kind == VerdictKind::Snapshot ||
      verdict.Kind == VerdictKind::Undecided)
    return std::nullopt;
  json detail = {{"verdict", config::verdictName(verdict.Kind)},
                 {"offset", verdict.Offset.Value},
                 {"change", verdict.ChangeId},
                 {"author", verdict.Author},
                 {"signer", verdict.SignedBy.Value}};
  if (!verdict.Winner.Id.empty())
    detail["winner"] = verdict.Winner.Id;
  if (!verdict.Problems.empty())
    detail["problems"] = config::problemText(verdict.Problems);
  auto record = makeRecord(verdict.Kind == VerdictKind::Accepted
                               ? AuditKind::ConfigurationAccepted
                               : AuditKind::ConfigurationRefused,
                           detail);
  record.ConfigurationVersion = verdict.Version;
  return record;
}

AuditRecord inForceRecord(const ActiveConfig &active, const char *source) {
  auto record = makeRecord(AuditKind::ConfigurationInForce,
                           {{"config_hash", active.Hash}, {"source", source}});
  record.ConfigurationVersion = active.Version;
  return record;
}

AuditRecord claimRecord(const CallerRequest &call, const state::ClaimId &id,
                        const char *answer) {
  return makeCallRecord(AuditKind::Claim, call,
                        {{"service", call.Service.Value},
                         {"claim", state::toText(id)},
                         {"state", answer}});
}

AuditRecord outcomeRecord(const CallerRequest &call, const state::ClaimId &id,
                          int status, Executed executed) {
  return makeCallRecord(AuditKind::ClaimOutcome, call,
                        {{"claim", state::toText(id)},
                         {"status", status},
                         {"executed", executedName(executed)}});
}

AuditRecord routeRecord(const CallerRequest &call, const CallResult &result,
                        base::Duration elapsed) {
  const auto span =
      std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
  return makeCallRecord(AuditKind::RouteSummary, call,
                        {{"service", call.Service.Value},
                         {"caller_request", call.CallerRequestId},
                         {"target", result.Target.Value},
                         {"status", result.Status},
                         {"attempts", result.Attempts},
                         {"bytes", result.Bytes},
                         {"complete", result.IsComplete},
                         {"executed", executedName(result.ExecutedState)},
                         {"ms", span.count()}});
}

AuditRecord targetStateRecord(const base::TargetId &target,
                              base::ConfigVersion version, bool isDomainRemoved,
                              bool isLeaving) {
  auto record = makeRecord(AuditKind::FailureDomainChange,
                           {{"target", target.Value},
                            {"domain_removed", isDomainRemoved},
                            {"leaving", isLeaving}});
  record.ConfigurationVersion = version;
  return record;
}

AuditRecord creditLimitRecord(const base::TargetId &target, const char *cause,
                              std::uint32_t slots) {
  return makeRecord(
      AuditKind::CreditLimitChange,
      {{"target", target.Value}, {"cause", cause}, {"slots", slots}});
}

} // namespace bergamot::bergamotd
