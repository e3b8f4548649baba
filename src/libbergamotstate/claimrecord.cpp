#include "libbergamotstate/claimrecord.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace bergamot::state {

namespace {

using nlohmann::json;

const char *kindName(ClaimKind kind) {
  switch (kind) {
  case ClaimKind::Claim:
    return "claim";
  case ClaimKind::Withdrawn:
    return "withdrawn";
  case ClaimKind::Completed:
    return "completed";
  }
  return "";
}

std::optional<ClaimKind> parseKind(const std::string &name) {
  for (const auto kind :
       {ClaimKind::Claim, ClaimKind::Withdrawn, ClaimKind::Completed})
    if (name == kindName(kind))
      return kind;
  return std::nullopt;
}

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char *end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value);
  if (text.empty() || ec != std::errc() || stop != end)
    return std::nullopt;
  return value;
}

void addOutcome(json &out, const Outcome &outcome) {
  out["status"] = outcome.Status;
  out["type"] = outcome.ContentType;
  if (!outcome.BodyStored) {
    out["hash"] = outcome.BodyHash;
    return;
  }
  // JSON strings must be UTF-8; other bodies are stored as hexadecimal digits.
  try {
    (void)json(outcome.Body).dump();
    out["body"] = outcome.Body;
  } catch (const json::type_error &) {
    out["body_hex"] = base::toHex(outcome.Body);
  }
}

Outcome readOutcome(const json &in) {
  Outcome outcome;
  outcome.Status = in.at("status").get<int>();
  outcome.ContentType = in.at("type").get<std::string>();
  outcome.BodyHash = in.value("hash", "");
  if (in.contains("body"))
    outcome.Body = in.at("body").get<std::string>();
  else if (in.contains("body_hex"))
    outcome.Body = base::fromHex(in.at("body_hex").get<std::string>());
  outcome.BodyStored = in.contains("body") || in.contains("body_hex");
  return outcome;
}

std::optional<ClaimRecord> readRecord(const json &in) {
  const auto kind = parseKind(in.at("kind").get<std::string>());
  const auto id = parseClaimId(in.at("claim").get<std::string>());
  const auto key = parseHash128(in.at("key").get<std::string>());
  if (!kind || !id || !key)
    return std::nullopt;
  ClaimRecord record{*kind, *id, *key, {}, {}};
  if (record.Kind == ClaimKind::Completed)
    record.RequestOutcome = readOutcome(in);
  if (record.Kind == ClaimKind::Claim) {
    const auto fingerprint = parseHash128(in.at("print").get<std::string>());
    if (!fingerprint)
      return std::nullopt;
    record.Fingerprint = *fingerprint;
  }
  return record;
}

} // namespace

std::string toText(const ClaimId &id) {
  return id.Entry.Value + '/' + std::to_string(id.Incarnation.Value) + '/' +
         std::to_string(id.Sequence);
}

std::optional<ClaimId> parseClaimId(std::string_view text) {
  const auto second = text.rfind('/');
  if (second == std::string_view::npos || second == 0)
    return std::nullopt;
  const auto first = text.rfind('/', second - 1);
  if (first == std::string_view::npos)
    return std::nullopt;
  const auto incarnation =
      parseNumber(text.substr(first + 1, second - first - 1));
  const auto sequence = parseNumber(text.substr(second + 1));
  if (!incarnation || !sequence)
    return std::nullopt;
  return ClaimId{
      {std::string(text.substr(0, first))}, {*incarnation}, *sequence};
}

Outcome makeOutcome(int status, std::string_view contentType,
                    std::string_view body) {
  const bool stored = body.size() <= MaxStoredBodyBytes;
  return {status, std::string(contentType), std::string(stored ? body : ""),
          stored, stored ? "" : base::sha256Hex(body)};
}

std::string recordId(ClaimKind kind, const ClaimId &id) {
  return toText(id) + '/' + kindName(kind);
}

std::string toText(const ClaimRecord &record) {
  json out = {{"id", recordId(record.Kind, record.Id)},
              {"kind", kindName(record.Kind)},
              {"claim", toText(record.Id)},
              {"key", toText(record.Key)}};
  if (record.Kind == ClaimKind::Claim)
    out["print"] = toText(record.Fingerprint);
  if (record.Kind == ClaimKind::Completed)
    addOutcome(out, record.RequestOutcome);
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ClaimRecord> parseClaimRecord(std::string_view text) {
  const json in = json::parse(text, nullptr, false);
  if (!in.is_object())
    return std::nullopt;
  try {
    return readRecord(in);
  } catch (const json::exception &) {
    return std::nullopt;
  } catch (const base::Error &) {
    return std::nullopt;
  }
}

Hash128 claimKey(const base::AccountId &account, const base::ServiceId &service,
                 std::string_view key) {
  // The length prefixes distinguish ("a", "bc") from ("ab", "c").
  std::string text = std::to_string(account.Value.size()) + ':' +
                     account.Value + std::to_string(service.Value.size()) +
                     ':' + service.Value;
  text.append(key);
  return hash128(text);
}

std::uint32_t claimPartition(const Hash128 &key, std::uint32_t partitions) {
  return static_cast<std::uint32_t>(key.High % partitions);
}

std::string claimStream(std::uint32_t partition, std::uint32_t partitions) {
  return partitions == 1 ? "claims" : "claims." + std::to_string(partition);
}

} // namespace bergamot::state
