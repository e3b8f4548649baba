#include "sidecar/rankcodec.h"

#include "libbergamotbase/jsoncodec.h"

namespace bergamot::sidecar {

using experts::OrderKind;
using experts::OrderResult;
using experts::RankOrder;
using experts::RankState;
using nlohmann::json;

namespace {

/// Decodes with `read`; damaged bytes give an unset value and a log line.
template <typename T, typename Read>
std::optional<T> decoded(const std::string &bytes, const char *what,
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
                  {"pace", it.Pace}};
  if (it.Armed)
    message["armed"] = {it.Armed->Version, it.Armed->Step};
  if (it.HeldStep)
    message["held"] = *it.HeldStep;
  return base::toCbor(message);
}

std::optional<RankState> decodeState(const std::string &bytes) {
  return decoded<RankState>(bytes, "state", [](const json &it) {
    RankState state;
    state.Group = it.at("group").get<std::string>();
    state.Rank = it.at("rank").get<std::uint32_t>();
    state.GroupSize = it.at("size").get<std::uint32_t>();
    state.Epoch = it.at("epoch").get<std::uint64_t>();
    state.GroupOpen = it.at("open").get<bool>();
    state.Step = it.at("step").get<std::uint64_t>();
    state.Pace = it.at("pace").get<double>();
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

std::string encodeCounts(const RankCounts &it) {
  return base::toCbor(
      {{"epoch", it.Epoch}, {"step", it.Step}, {"counts", it.Counts}});
}

std::optional<RankCounts> decodeCounts(const std::string &bytes) {
  return decoded<RankCounts>(bytes, "counts", [](const json &it) {
    return RankCounts{it.at("epoch").get<std::uint64_t>(),
                      it.at("step").get<std::uint64_t>(),
                      it.at("counts").get<std::vector<std::uint64_t>>()};
  });
}

std::string encodeExperts(const RankExperts &it) {
  return base::toCbor(
      {{"epoch", it.Epoch}, {"map", it.MapVersion}, {"experts", it.Experts}});
}

std::optional<RankExperts> decodeExperts(const std::string &bytes) {
  return decoded<RankExperts>(bytes, "experts", [](const json &it) {
    return RankExperts{
        it.at("epoch").get<std::uint64_t>(), it.at("map").get<std::uint64_t>(),
        it.at("experts").get<std::vector<std::vector<std::uint32_t>>>()};
  });
}

std::string encodeOrder(const RankOrder &it) {
  return base::toCbor({{"kind", static_cast<int>(it.Kind)},
                       {"version", it.Version},
                       {"step", it.Step},
                       {"epoch", it.Epoch},
                       {"map", it.Map}});
}

std::optional<RankOrder> decodeOrder(const std::string &bytes) {
  return decoded<RankOrder>(bytes, "order", [](const json &it) {
    RankOrder order;
    order.Kind = static_cast<OrderKind>(it.at("kind").get<int>());
    order.Version = it.at("version").get<std::uint64_t>();
    order.Step = it.at("step").get<std::uint64_t>();
    order.Epoch = it.at("epoch").get<std::uint64_t>();
    order.Map = it.at("map").get<experts::GroupMap>();
    return order;
  });
}

std::string encodeResult(OrderResult result) {
  return base::toCbor({{"result", static_cast<int>(result)}});
}

std::optional<OrderResult> decodeResult(const std::string &bytes) {
  return decoded<OrderResult>(bytes, "result", [](const json &it) {
    return static_cast<OrderResult>(it.at("result").get<int>());
  });
}

} // namespace bergamot::sidecar
