#include "libbergamotstate/leaserecord.h"

#include <nlohmann/json.hpp>

namespace bergamot::state {

namespace {

using nlohmann::json;

const char *kindName(LeaseKind kind) {
  switch (kind) {
  case LeaseKind::Acquire:
    return "acquire";
  case LeaseKind::Renew:
    return "renew";
  case LeaseKind::Release:
    return "release";
  }
  return "";
}

std::optional<LeaseKind> parseKind(const std::string &name) {
  for (const auto kind :
       {LeaseKind::Acquire, LeaseKind::Renew, LeaseKind::Release})
    if (name == kindName(kind))
      return kind;
  return std::nullopt;
}

} // namespace

std::string toText(const LeaseRecord &record) {
  json out = {{"id", record.Holder.Value + '/' +
                         std::to_string(record.Incarnation.Value) + '/' +
                         std::to_string(record.Sequence) + '/' +
                         kindName(record.Kind)},
              {"kind", kindName(record.Kind)},
              {"lease", record.Lease},
              {"holder", record.Holder.Value},
              {"incarnation", record.Incarnation.Value},
              {"sequence", record.Sequence},
              {"duration_ms", record.Duration.count()}};
  if (record.Version) {
    out["token"] = record.Version->Token.Value;
    out["renewal"] = record.Version->Renewal;
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<LeaseRecord> parseLeaseRecord(std::string_view text) {
  const json in = json::parse(text, nullptr, false);
  if (!in.is_object())
    return std::nullopt;
  try {
    const auto kind = parseKind(in.at("kind").get<std::string>());
    if (!kind)
      return std::nullopt;
    LeaseRecord record;
    record.Kind = *kind;
    record.Lease = in.at("lease").get<std::string>();
    record.Holder = {in.at("holder").get<std::string>()};
    record.Incarnation = {in.at("incarnation").get<std::uint64_t>()};
    record.Sequence = in.at("sequence").get<std::uint64_t>();
    record.Duration =
        std::chrono::milliseconds(in.at("duration_ms").get<std::int64_t>());
    if (in.contains("token"))
      record.Version = {{in.at("token").get<std::uint64_t>()},
                        in.at("renewal").get<std::uint64_t>()};
    const bool complete = record.Version || *kind == LeaseKind::Acquire;
    return complete ? std::optional(record) : std::nullopt;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace bergamot::state
