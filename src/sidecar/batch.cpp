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

std::string text(const json &it) {
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
    calls.push_back({it.Member, it.Body ? json(*it.Body) : json(nullptr)});
  return base::toCbor({{"target", batch.Target},
                       {"within", batch.Within.count()},
                       {"bodies", std::move(bodies)},
                       {"calls", std::move(calls)}});
}

std::optional<Batch> decodeBatch(const std::string &bytes) {
  using Read = std::optional<Batch>;
  return base::readJson<Batch>("peer.unreadable", "batch", [&]() -> Read {
    const json it = json::from_cbor(bytes);
    Batch batch;
    batch.Target = it.at("target").get<std::string>();
    batch.Within =
        std::chrono::milliseconds(it.at("within").get<std::int64_t>());
    for (const json &body : it.at("bodies"))
      batch.Bodies.push_back(text(body));
    for (const json &call : it.at("calls")) {
      Batch::Call read;
      read.Member = call.at(0).get<std::string>();
      if (!call.at(1).is_null())
        read.Body = call.at(1).get<std::uint32_t>();
      if (read.Body && *read.Body >= batch.Bodies.size())
        return std::nullopt;
      batch.Calls.push_back(std::move(read));
    }
    return batch;
  });
}

std::string encodeAnswers(const BatchAnswers &answers) {
  json message = json::array();
  for (const auto &it : answers)
    message.push_back(it ? binary(*it) : json(nullptr));
  return base::toCbor(message);
}

std::optional<BatchAnswers> decodeAnswers(const std::string &bytes) {
  return base::readJson<BatchAnswers>("peer.unreadable", "answers", [&] {
    BatchAnswers answers;
    for (const json &it : json::from_cbor(bytes))
      answers.push_back(it.is_null() ? std::nullopt : std::optional(text(it)));
    return answers;
  });
}

void mergeCounts(BatchAnswers &answers) {
  AddedCounts sum;
  std::optional<std::string> *first = nullptr;
  for (auto &it : answers) {
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
