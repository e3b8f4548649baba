#include "sidecar/rankcodec.h"

#include "libbergamotbase/jsoncodec.h"

#include <algorithm>
#include <cmath>

namespace bergamot::sidecar {

using experts::GroupMap;
using experts::OrderKind;
using experts::OrderResult;
using experts::RankOrder;
using experts::RankState;
using nlohmann::json;

namespace {

constexpr double MaxByte = 255;
constexpr double MaxCount = 0xffffffff;

void appendNumber(json::binary_t &bytes, std::size_t number, unsigned width) {
  for (unsigned i = 0; i < width; ++i)
    bytes.push_back(static_cast<std::uint8_t>(number >> 8 * i & 0xff));
}

/// Encodes a map: width of its numbers in bytes, number of sets, number of
/// ranks, then the number of experts and the experts of each set and rank. CBOR
/// integers would take twice the bytes, and each change sends the map to every
/// rank.
json::binary_t encodeMap(const GroupMap &map) {
  std::size_t largest =
      std::max<std::size_t>(map.size(), map.empty() ? 0 : map.front().size());
  for (const auto &set : map)
    for (const auto &rank : set) {
      largest = std::max(largest, rank.size());
      for (const std::uint32_t expert : rank)
        largest = std::max<std::size_t>(largest, expert);
    }
  const unsigned width = largest <= 0xff ? 1 : largest <= 0xffff ? 2 : 4;
  json::binary_t bytes;
  appendNumber(bytes, width, 1);
  appendNumber(bytes, map.size(), width);
  appendNumber(bytes, map.empty() ? 0 : map.front().size(), width);
  for (const auto &set : map)
    for (const auto &rank : set) {
      appendNumber(bytes, rank.size(), width);
      for (const std::uint32_t expert : rank)
        appendNumber(bytes, expert, width);
    }
  return bytes;
}

/// Reads numbers from a byte string. Reading past the end returns 0 and marks
/// the input as malformed.
class NumberReader {
public:
  explicit NumberReader(const json::binary_t &bytes) : Bytes(bytes) {
    Width = 1;
    Width = next();
    Malformed = Malformed || (Width != 1 && Width != 2 && Width != 4);
  }

  std::uint32_t next() {
    if (Malformed || Bytes.size() - Position < Width) {
      Malformed = true;
      return 0;
    }
    std::uint32_t number = 0;
    for (unsigned i = 0; i < Width; ++i)
      number |= static_cast<std::uint32_t>(Bytes[Position++]) << 8 * i;
    return number;
  }
  bool isMalformed() const { return Malformed; }
  bool isAtEnd() const { return Position == Bytes.size(); }

private:
  const json::binary_t &Bytes;
  std::size_t Position = 0;
  unsigned Width = 1;
  bool Malformed = false;
};

std::optional<GroupMap> decodeMap(const json::binary_t &bytes) {
  NumberReader reader(bytes);
  const std::uint32_t sets = reader.next();
  const std::uint32_t ranks = reader.next();
  GroupMap map;
  for (std::uint32_t s = 0; s < sets && !reader.isMalformed(); ++s) {
    map.emplace_back();
    for (std::uint32_t r = 0; r < ranks && !reader.isMalformed(); ++r) {
      map.back().emplace_back();
      const std::uint32_t expertCount = reader.next();
      for (std::uint32_t e = 0; e < expertCount && !reader.isMalformed(); ++e)
        map.back().back().push_back(reader.next());
    }
  }
  if (reader.isMalformed() || !reader.isAtEnd())
    return std::nullopt;
  return map;
}

/// Decodes a message with `read`; malformed input is logged and returns
/// std::nullopt.
template <typename T, typename Read>
std::optional<T> decodeMessage(const std::string &bytes, const char *what,
                               Read read) {
  return base::readJson<T>("peer.unreadable", what,
                           [&] { return read(json::from_cbor(bytes)); });
}

template <typename T> std::optional<T> optionalField(const json &it) {
  return it.is_null() ? std::nullopt : std::optional<T>(it.get<T>());
}

} // namespace

std::string encodeState(const RankState &it) {
  json message = {{"group", it.Group},    {"rank", it.Rank},
                  {"size", it.GroupSize}, {"epoch", it.Epoch},
                  {"open", it.GroupOpen}, {"step", it.Step},
                  {"map", it.MapVersion}, {"ready", it.PreparedVersion},
                  {"armed", nullptr},     {"held", nullptr},
                  {"pace", it.Slowdown}};
  if (it.Armed)
    message["armed"] = {it.Armed->Version, it.Armed->Step};
  if (it.HeldStep)
    message["held"] = *it.HeldStep;
  return base::toCbor(message);
}

std::optional<RankState> decodeState(const std::string &bytes) {
  return decodeMessage<RankState>(bytes, "state", [](const json &it) {
    RankState state;
    state.Group = it.at("group").get<std::string>();
    state.Rank = it.at("rank").get<std::uint32_t>();
    state.GroupSize = it.at("size").get<std::uint32_t>();
    state.Epoch = it.at("epoch").get<std::uint64_t>();
    state.GroupOpen = it.at("open").get<bool>();
    state.Step = it.at("step").get<std::uint64_t>();
    state.Slowdown = it.at("pace").get<double>();
    state.MapVersion = it.at("map").get<std::uint64_t>();
    state.PreparedVersion = it.at("ready").get<std::uint64_t>();
    const json &armed = it.at("armed");
    if (!armed.is_null())
      state.Armed = {armed.at(0).get<std::uint64_t>(),
                     armed.at(1).get<std::uint64_t>()};
    state.HeldStep = optionalField<std::uint64_t>(it.at("held"));
    return state;
  });
}

std::string encodeCounts(const CountDeltas &it) {
  const std::uint32_t largest =
      it.empty() ? 0 : *std::max_element(it.begin(), it.end());
  const double scale = std::max(1.0, static_cast<double>(largest) / MaxByte);
  json::binary_t bytes;
  bytes.reserve(it.size());
  for (const std::uint32_t count : it)
    bytes.push_back(static_cast<std::uint8_t>(std::lround(count / scale)));
  return base::toCbor({{"scale", scale}, {"counts", std::move(bytes)}});
}

std::optional<CountDeltas> decodeCounts(const std::string &bytes) {
  using Counts = std::optional<CountDeltas>;
  return decodeMessage<CountDeltas>(
      bytes, "counts", [](const json &it) -> Counts {
        const double scale = it.at("scale").get<double>();
        if (!(scale >= 1 && scale * MaxByte <= MaxCount))
          return std::nullopt;
        CountDeltas counts;
        for (const std::uint8_t byte : it.at("counts").get_binary())
          counts.push_back(
              static_cast<std::uint32_t>(std::lround(scale * byte)));
        return counts;
      });
}

std::string encodeExpertIds(const RankExpertIds &it) {
  return base::toCbor(
      {{"epoch", it.Epoch}, {"map", it.MapVersion}, {"experts", it.ExpertIds}});
}

std::optional<RankExpertIds> decodeExpertIds(const std::string &bytes) {
  return decodeMessage<RankExpertIds>(bytes, "experts", [](const json &it) {
    return RankExpertIds{
        it.at("epoch").get<std::uint64_t>(), it.at("map").get<std::uint64_t>(),
        it.at("experts").get<std::vector<std::vector<std::uint32_t>>>()};
  });
}

std::string encodeOrder(const RankOrder &it) {
  return base::toCbor({{"kind", static_cast<int>(it.Kind)},
                       {"version", it.Version},
                       {"step", it.Step},
                       {"epoch", it.Epoch},
                       {"map", encodeMap(it.Map)}});
}

std::optional<RankOrder> decodeOrder(const std::string &bytes) {
  using Order = std::optional<RankOrder>;
  return decodeMessage<RankOrder>(bytes, "order", [](const json &it) -> Order {
    RankOrder order;
    order.Kind = static_cast<OrderKind>(it.at("kind").get<int>());
    order.Version = it.at("version").get<std::uint64_t>();
    order.Step = it.at("step").get<std::uint64_t>();
    order.Epoch = it.at("epoch").get<std::uint64_t>();
    auto map = decodeMap(it.at("map").get_binary());
    if (!map)
      return std::nullopt;
    order.Map = std::move(*map);
    return order;
  });
}

std::string encodeResult(OrderResult result) {
  return base::toCbor({{"result", static_cast<int>(result)}});
}

std::optional<OrderResult> decodeResult(const std::string &bytes) {
  return decodeMessage<OrderResult>(bytes, "result", [](const json &it) {
    return static_cast<OrderResult>(it.at("result").get<int>());
  });
}

} // namespace bergamot::sidecar
