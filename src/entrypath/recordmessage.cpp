#include "entrypath/recordmessage.h"

#include "libbergamotbase/jsoncodec.h"

#include <nlohmann/json.hpp>

namespace bergamot::entrypath {

using nlohmann::json;

namespace {

std::optional<std::uint64_t> numberField(const json &it, const char *name) {
  const auto field = it.find(name);
  if (field == it.end() || !field->is_number_unsigned())
    return std::nullopt;
  return field->get<std::uint64_t>();
}

std::uint64_t eraField(const json &it) {
  return numberField(it, "era").value_or(FirstEra);
}

std::optional<TopicRecord> decodeRecord(const json &it) {
  if (!it.is_object())
    return std::nullopt;
  const auto offset = numberField(it, "offset");
  const auto key = it.find("key");
  if (!offset || key == it.end() || !key->is_string())
    return std::nullopt;
  TopicRecord record{
      key->get<std::string>(), std::nullopt, {eraField(it), *offset}};
  if (const auto value = it.find("value"); value != it.end())
    if (value->is_string())
      record.Value = value->get<std::string>();
  return record;
}

} // namespace

std::string encodeRecordMessage(const RecordMessage &message) {
  json records = json::array();
  for (const auto &it : message.Records)
    records.push_back({{"key", it.Key},
                       {"value", it.Value ? json(*it.Value) : json()},
                       {"offset", it.Position.Offset},
                       {"era", it.Position.Era}});
  return base::toCbor({{"end", message.End.Offset},
                       {"era", message.End.Era},
                       {"records", std::move(records)}});
}

std::optional<RecordMessage> decodeRecordMessage(std::string_view bytes) {
  const json it = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (!it.is_object())
    return std::nullopt;
  const auto end = numberField(it, "end");
  const auto records = it.find("records");
  if (!end || records == it.end() || !records->is_array())
    return std::nullopt;
  RecordMessage message{{}, {eraField(it), *end}};
  for (const auto &entry : *records)
    if (auto record = decodeRecord(entry))
      message.Records.push_back(std::move(*record));
  return message;
}

} // namespace bergamot::entrypath
