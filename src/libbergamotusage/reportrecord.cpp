#include "libbergamotusage/reportrecord.h"

#include "libbergamotbase/jsoncodec.h"

namespace bergamot::usage {

using nlohmann::json;

std::string encodeReportRecord(const ReportRecord &record) {
  json windows = json::array();
  for (const auto &it : record.Unconfirmed)
    windows.push_back({{"window", it.Window}, {"counts", toJson(it.Counts)}});
  return base::toCbor({{"holder", record.Holder},
                       {"token", record.Token},
                       {"last_fixed", record.LastFixed},
                       {"era", record.Era},
                       {"unconfirmed", std::move(windows)}});
}

std::optional<ReportRecord> decodeReportRecord(std::string_view bytes) {
  return base::readJson<ReportRecord>(
      "usage.malformed", "report record", [&]() -> ReportRecord {
        const json it = json::from_cbor(bytes.begin(), bytes.end());
        ReportRecord record;
        record.Holder = it.at("holder").get<std::string>();
        record.Token = it.at("token").get<std::uint64_t>();
        record.LastFixed = it.at("last_fixed").get<WindowNumber>();
        record.Era = it.value("era", FirstStoreEra);
        for (const auto &window : it.at("unconfirmed"))
          record.Unconfirmed.push_back({window.at("window").get<WindowNumber>(),
                                        decodeCounts(window.at("counts"))});
        return record;
      });
}

} // namespace bergamot::usage
