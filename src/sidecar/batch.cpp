#include "sidecar/batch.h"

#include "libbergamotbase/jsoncodec.h"
#include "sidecar/countdeltatracker.h"
#include "sidecar/rankcodec.h"

namespace bergamot::sidecar {

using nlohmann::json;

namespace {

json binary(const std::string &bytes) {
  return json::binary(
      json::binary_t::container_type(bytes.begin(), bytes.end()));
}

std::string byteString(const json &it) {
  const auto &bytes = it.get_binary();
  return {bytes.begin(), bytes.end()};
}

} // namespace

std::string encodeBatch(const Batch &batch) {
  json bodies = json::array();
  for (const auto &it : batch.Bodies)
    bodies.push_back(binary(it));
  json calls = json::array();
  for (const auto &it : batch.Calls)
    calls.push_back(
        {it.MemberAddress, it.Body ? json(*it.Body) : json(nullptr)});
  return base::toCbor({{"target", batch.RequestTarget},
                       {"within", batch.Timeout.count()},
                       {"bodies", std::move(bodies)},
                       {"calls", std::move(calls)}});
}

std::optional<Batch> decodeBatch(const std::string &bytes) {
  using Decoded = std::optional<Batch>;
  return base::readJson<Batch>("peer.unreadable", "batch", [&]() -> Decoded {
    const json it = json::from_cbor(bytes);
    Batch batch;
    batch.RequestTarget = it.at("target").get<std::string>();
    batch.Timeout =
        std::chrono::milliseconds(it.at("within").get<std::int64_t>());
    for (const json &body : it.at("bodies"))
      batch.Bodies.push_back(byteString(body));
    for (const json &call : it.at("calls")) {
      Batch::Call decoded;
      decoded.MemberAddress = call.at(0).get<std::string>();
      if (!call.at(1).is_null())
        decoded.Body = call.at(1).get<std::uint32_t>();
      if (decoded.Body && *decoded.Body >= batch.Bodies.size())
        return std::nullopt;
      batch.Calls.push_back(std::move(decoded));
    }
    return batch;
  });
}

std::string encodeResponses(const BatchResponses &responses) {
  json message = json::array();
  for (const auto &it : responses)
    message.push_back(it ? binary(*it) : json(nullptr));
  return base::toCbor(message);
}

std::optional<BatchResponses> decodeResponses(const std::string &bytes) {
  return base::readJson<BatchResponses>("peer.unreadable", "answers", [&] {
    BatchResponses responses;
    for (const json &it : json::from_cbor(bytes))
      responses.push_back(it.is_null() ? std::nullopt
                                       : std::optional(byteString(it)));
    return responses;
  });
}

void mergeCounts(BatchResponses &responses) {
  CountDeltas sum;
  std::optional<std::string> *first = nullptr;
  for (auto &it : responses) {
    const auto counts = it ? decodeCounts(*it) : std::nullopt;
    if (!counts)
      continue;
    addCounts(sum, *counts);
    if (!first)
      first = &it;
    else
      it = encodeCounts({});
  }
  if (first)
    *first = encodeCounts(sum);
}

} // namespace bergamot::sidecar
