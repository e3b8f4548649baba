#include "libbergamotstate/auditrecord.h"

#include "libbergamotbase/digest.h"

#include <nlohmann/json.hpp>

namespace bergamot::state {

namespace {

using nlohmann::json;

constexpr std::string_view HashMember = ",\"hash\":\"";
constexpr std::size_t HashDigits = 64;
/// Length of the hash member including the closing quote and brace.
constexpr std::size_t TailLength = HashMember.size() + HashDigits + 2;
constexpr auto LastKind = AuditKind::Other;

json toJson(const AuditRecord &record) {
  json out = {{"kind", auditKindName(record.Kind)},
              {"time", base::toUnixMilliseconds(record.Time)}};
  if (!record.Request.Value.empty())
    out["request"] = record.Request.Value;
  if (!record.Account.Value.empty())
    out["account"] = record.Account.Value;
  if (!record.KeyHash.empty())
    out["key"] = record.KeyHash;
  if (record.ConfigurationVersion.Value != 0)
    out["version"] = record.ConfigurationVersion.Value;
  json detail = json::parse(record.Detail, nullptr, false);
  if (detail.is_discarded())
    detail = record.Detail;
  if (!detail.empty())
    out["detail"] = std::move(detail);
  return out;
}

json toJson(const AuditLink &link) {
  return {{"incarnation", link.Incarnation.Value},
          {"sequence", link.Sequence},
          {"hash", link.Hash}};
}

std::optional<AuditKind> parseKind(const std::string &name) {
  for (int i = 0; i <= static_cast<int>(LastKind); ++i)
    if (name == auditKindName(static_cast<AuditKind>(i)))
      return static_cast<AuditKind>(i);
  return std::nullopt;
}

AuditRecord recordFromJson(const json &in) {
  const auto kind = parseKind(in.at("kind").get<std::string>());
  AuditRecord record;
  record.Kind = kind.value_or(LastKind);
  record.Time = base::fromUnixMilliseconds(in.at("time").get<std::int64_t>());
  record.Request = {in.value("request", "")};
  record.Account = {in.value("account", "")};
  record.KeyHash = in.value("key", "");
  record.ConfigurationVersion = {in.value("version", std::uint64_t{0})};
  if (in.contains("detail"))
    record.Detail = in.at("detail").dump();
  return record;
}

AuditLink linkFromJson(const json &in) {
  return {{in.at("incarnation").get<std::uint64_t>()},
          in.at("sequence").get<std::uint64_t>(),
          in.at("hash").get<std::string>()};
}

AuditBatch batchFromJson(const json &in) {
  AuditBatch batch;
  batch.Daemon = {in.at("daemon").get<std::string>()};
  batch.Link = linkFromJson(in);
  batch.PreviousHash = in.at("previous").get<std::string>();
  if (in.contains("after"))
    batch.PriorLastLink = linkFromJson(in.at("after"));
  if (in.contains("gap")) {
    const auto &gap = in.at("gap");
    batch.Gap = {gap.at("count").get<std::uint64_t>(),
                 base::fromUnixMilliseconds(gap.at("from").get<std::int64_t>()),
                 base::fromUnixMilliseconds(gap.at("to").get<std::int64_t>())};
  }
  for (const auto &it : in.at("records"))
    batch.Records.push_back(recordFromJson(it));
  return batch;
}

} // namespace

const char *auditKindName(AuditKind kind) {
  switch (kind) {
  case AuditKind::ConfigurationAccepted:
    return "configuration accepted";
  case AuditKind::ConfigurationRefused:
    return "configuration refused";
  case AuditKind::ConfigurationInForce:
    return "configuration in force";
  case AuditKind::Claim:
    return "claim";
  case AuditKind::ClaimOutcome:
    return "outcome";
  case AuditKind::FailureDomainChange:
    return "failure domain change";
  case AuditKind::ExpertMapActivation:
    return "expert map activation";
  case AuditKind::CreditLimitChange:
    return "credit limit change";
  case AuditKind::RouteSummary:
    return "route summary";
  case AuditKind::Other:
    return "other";
  }
  return "";
}

std::string auditStream(const base::VmId &daemon) {
  return "audit." + daemon.Value;
}

std::string sealBatch(AuditBatch &batch) {
  const std::string id = batch.Daemon.Value + '/' +
                         std::to_string(batch.Link.Incarnation.Value) + '/' +
                         std::to_string(batch.Link.Sequence);
  json out = {{"id", id},
              {"daemon", batch.Daemon.Value},
              {"incarnation", batch.Link.Incarnation.Value},
              {"sequence", batch.Link.Sequence},
              {"previous", batch.PreviousHash},
              {"records", json::array()}};
  for (const auto &it : batch.Records)
    out["records"].push_back(toJson(it));
  if (batch.PriorLastLink.Sequence != 0)
    out["after"] = toJson(batch.PriorLastLink);
  if (batch.Gap.Count != 0)
    out["gap"] = {{"count", batch.Gap.Count},
                  {"from", base::toUnixMilliseconds(batch.Gap.From)},
                  {"to", base::toUnixMilliseconds(batch.Gap.To)}};
  std::string text = out.dump(-1, ' ', false, json::error_handler_t::replace);
  text.pop_back();
  batch.Link.Hash = base::sha256Hex(text);
  return text.append(HashMember).append(batch.Link.Hash).append("\"}");
}

std::optional<AuditReadResult> parseBatch(std::string_view text) {
  const json in = json::parse(text, nullptr, false);
  if (!in.is_object())
    return std::nullopt;
  try {
    AuditReadResult result{batchFromJson(in), false};
    if (text.size() <= TailLength)
      return result;
    const auto body = text.substr(0, text.size() - TailLength);
    const auto tail = text.substr(body.size());
    result.HashMatches = tail.substr(0, HashMember.size()) == HashMember &&
                         base::sha256Hex(body) == result.Batch.Link.Hash;
    return result;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

bool matches(const AuditQuery &query, const AuditRecord &record) {
  return (!query.Request || *query.Request == record.Request) &&
         (!query.Account || *query.Account == record.Account) &&
         (!query.KeyHash || *query.KeyHash == record.KeyHash) &&
         (!query.ConfigurationVersion ||
          *query.ConfigurationVersion == record.ConfigurationVersion) &&
         (!query.From || *query.From <= record.Time) &&
         (!query.To || record.Time <= *query.To);
}

std::string toText(const AuditRecord &record) {
  return toJson(record).dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace bergamot::state
