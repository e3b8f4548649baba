#include "sidecar/popularityrecord.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/jsoncodec.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bergamot::sidecar {

using experts::ExpertLoads;
using nlohmann::json;

namespace {

constexpr std::uint64_t FormatVersion = 1;
constexpr std::size_t ChecksumBytes = 8;
constexpr double MaxByte = 255;
/// Larger than the sum of a set's loads in any estimate; a record with a larger
/// sum is invalid.
constexpr double MaxSetSum = 1e12;

std::string checksum(std::string_view bytes) {
  std::uint64_t hash = base::xxHash64(bytes);
  std::string text;
  for (std::size_t i = 0; i < ChecksumBytes; ++i) {
    text.push_back(static_cast<char>(hash & 0xff));
    hash >>= 8;
  }
  return text;
}

double sum(const std::vector<double> &loads) {
  return std::accumulate(loads.begin(), loads.end(), 0.0);
}

ExpertLoads rescaledLoads(const json::binary_t &bytes,
                          std::uint32_t expertsPerSet,
                          const std::vector<double> &setSums) {
  ExpertLoads loads;
  for (std::size_t s = 0; s < setSums.size(); ++s) {
    const auto first =
        bytes.begin() + static_cast<std::ptrdiff_t>(s * expertsPerSet);
    loads.emplace_back(first, first + expertsPerSet);
    const double rawSum = sum(loads.back());
    for (double &it : loads.back())
      it *= rawSum > 0 ? setSums[s] / rawSum : 0;
  }
  return loads;
}

} // namespace

std::string encodePopularity(const ExpertLoads &loads) {
  json::binary_t bytes;
  std::vector<double> setSums;
  for (const auto &set : loads) {
    const double max = *std::max_element(set.begin(), set.end());
    for (const double it : set)
      bytes.push_back(static_cast<std::uint8_t>(
          max > 0 ? std::ceil(MaxByte * it / max) : 0));
    setSums.push_back(std::round(sum(set)));
  }
  const json message = {{"format", FormatVersion},
                        {"sets", loads.size()},
                        {"experts", loads.empty() ? 0 : loads.front().size()},
                        {"weights", setSums},
                        {"loads", std::move(bytes)}};
  const std::string record = base::toCbor(message);
  return record + checksum(record);
}

std::optional<ExpertLoads> decodePopularity(const std::string &bytes,
                                            std::uint32_t sets,
                                            std::uint32_t expertsPerSet) {
  const auto read = [&]() -> std::optional<ExpertLoads> {
    if (bytes.size() <= ChecksumBytes)
      return std::nullopt;
    const std::string_view record =
        std::string_view(bytes).substr(0, bytes.size() - ChecksumBytes);
    if (checksum(record) != bytes.substr(record.size()))
      return std::nullopt;
    const json message = json::from_cbor(record);
    const auto setSums = message.at("weights").get<std::vector<double>>();
    const auto &loads = message.at("loads").get_binary();
    const bool sizesMatch =
        message.at("format") == FormatVersion && message.at("sets") == sets &&
        message.at("experts") == expertsPerSet && setSums.size() == sets &&
        loads.size() == std::size_t{sets} * expertsPerSet;
    const bool sumsValid =
        std::all_of(setSums.begin(), setSums.end(),
                    [](double it) { return it >= 0 && it <= MaxSetSum; });
    if (!sizesMatch || !sumsValid)
      return std::nullopt;
    return rescaledLoads(loads, expertsPerSet, setSums);
  };
  return base::readJson<ExpertLoads>("popularity.unreadable", "record", read);
}

} // namespace bergamot::sidecar
