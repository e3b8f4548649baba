#include "libbergamotusage/usagemessage.h"

#include "libbergamotbase/jsoncodec.h"

namespace bergamot::usage {

using nlohmann::json;

namespace {

constexpr char FormatVersion = 2;

std::string encodeDatagram(const UsageMessage &message, json usage) {
  json it = {{"entry", message.Source.Entry},
             {"start", message.Source.Incarnation},
             {"clock", base::toUnixMilliseconds(message.Clock)},
             {"usage", std::move(usage)}};
  if (message.Holder)
    it["holder"] = {{"token", message.Holder->Token},
                    {"last_fixed", message.Holder->LastFixed},
                    {"leaving", message.Holder->Leaving}};
  return FormatVersion + base::toCbor(it);
}

json encodeUsage(const SourceUsage &it, const AccountCounts &counts) {
  json usage = {{"window", it.Usage.Window}, {"counts", toJson(counts)}};
  if (it.FinalTotal)
    usage["final_total"] = *it.FinalTotal;
  return usage;
}

SourceUsage decodeUsage(const json &it) {
  SourceUsage usage;
  usage.Usage = {it.at("window").get<WindowNumber>(),
                 decodeCounts(it.at("counts"))};
  if (it.contains("final_total"))
    usage.FinalTotal = it["final_total"].get<std::uint64_t>();
  return usage;
}

HolderAnnouncement decodeHolder(const json &it) {
  return {it.at("token").get<std::uint64_t>(),
          it.at("last_fixed").get<WindowNumber>(),
          it.at("leaving").get<bool>()};
}

UsageMessage decodeMessage(const json &it) {
  UsageMessage message;
  message.Source = {it.at("entry").get<std::string>(),
                    it.at("start").get<std::uint64_t>()};
  message.Clock =
      base::fromUnixMilliseconds(it.at("clock").get<std::int64_t>());
  if (it.contains("holder"))
    message.Holder = decodeHolder(it["holder"]);
  for (const auto &usage : it.at("usage"))
    message.Usage.push_back(decodeUsage(usage));
  return message;
}

} // namespace

std::vector<std::string> encodeUsageMessage(const UsageMessage &message,
                                            std::size_t maxAccounts) {
  std::vector<std::string> datagrams;
  json usage = json::array();
  std::size_t accounts = 0;
  for (const auto &it : message.Usage) {
    AccountCounts part;
    for (const auto &count : it.Usage.Counts) {
      part.insert(count);
      if (++accounts % maxAccounts != 0)
        continue;
      usage.push_back(encodeUsage(it, part));
      datagrams.push_back(encodeDatagram(message, std::move(usage)));
      usage = json::array();
      part.clear();
    }
    usage.push_back(encodeUsage(it, part));
  }
  datagrams.push_back(encodeDatagram(message, std::move(usage)));
  return datagrams;
}

bool isUsageMessage(std::string_view bytes) {
  return !bytes.empty() && bytes.front() == FormatVersion;
}

std::optional<UsageMessage> decodeUsageMessage(std::string_view bytes) {
  if (!isUsageMessage(bytes))
    return std::nullopt;
  bytes.remove_prefix(1);
  return base::readJson<UsageMessage>("usage.malformed", "message", [&] {
    return decodeMessage(json::from_cbor(bytes.begin(), bytes.end()));
  });
}

} // namespace bergamot::usage
