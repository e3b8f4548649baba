#include "adapterengine/httpengine.h"

#include "adapterengine/responsejson.h"

namespace bergamot::adapterengine {

namespace {

constexpr int ConflictStatus = 409;

EngineCacheEvent::EventKind parseEventKind(const std::string &name) {
  if (name == "stored")
    return EngineCacheEvent::EventKind::Stored;
  if (name == "evicted")
    return EngineCacheEvent::EventKind::Evicted;
  if (name == "cleared")
    return EngineCacheEvent::EventKind::Cleared;
  throw base::Error(base::Step::Answer, "",
                    "unknown kind of cache event: " + name);
}

} // namespace

bool HttpEngine::resume(const base::RequestId &id, std::uint64_t offset,
                        const CallDeadlines &deadlines,
                        const ResponseSink &sink, CancellationToken &cancel) {
  BackEndCall call;
  call.Method = "POST";
  call.Target = "/v1/streams/" + id.Value + "/resume";
  call.Headers = {{"Content-Type", "application/json"}};
  call.Body = nlohmann::json{{"offset", offset}}.dump();
  call.Id = id;
  return run(call, deadlines, sink, cancel);
}

bool HttpEngine::cancelStream(const base::RequestId &id,
                              base::TimePoint deadline) {
  auto response = post("/v1/streams/" + id.Value + "/cancel",
                       nlohmann::json::object(), deadline);
  return parseResponse(endpoint(), response, [](const nlohmann::json &json) {
    return json.at("cancelled").get<bool>();
  });
}

EngineCacheEventPage HttpEngine::cacheEvents(std::uint64_t from,
                                             base::TimePoint deadline) {
  auto response = Client.request(
      "GET", "/v1/cache_events?from=" + std::to_string(from), {}, {}, deadline);
  return parseResponse(endpoint(), response, [](const nlohmann::json &json) {
    EngineCacheEventPage page;
    page.BackEndIncarnation.Value = json.at("incarnation").get<std::uint64_t>();
    page.Next = json.at("next").get<std::uint64_t>();
    for (const auto &it : json.at("events"))
      page.Events.push_back({it.at("sequence").get<std::uint64_t>(),
                             parseEventKind(it.at("kind").get<std::string>()),
                             it.at("block").get<std::uint64_t>()});
    return page;
  });
}

OrderResult HttpEngine::order(const std::string &kind,
                              const base::FencingToken &fence,
                              const nlohmann::json &fields,
                              base::TimePoint deadline) {
  nlohmann::json body = fields;
  body["kind"] = kind;
  body["fence"] = fence.Value;
  auto response = post("/v1/orders", body, deadline);
  if (response.Status == ConflictStatus)
    return OrderResult::StaleFence;
  return parseResponse(endpoint(), response, [](const nlohmann::json &) {
    return OrderResult::Accepted;
  });
}

void HttpEngine::stageMap(const std::string &hash, const nlohmann::json &map,
                          base::TimePoint deadline) {
  auto response =
      post("/v1/rank/stage", {{"hash", hash}, {"map", map}}, deadline);
  parseResponse(endpoint(), response, [](const nlohmann::json &json) {
    return json.at("staged").get<bool>();
  });
}

bool HttpEngine::switchMap(const std::string &hash, std::uint64_t step,
                           base::TimePoint deadline) {
  auto response =
      post("/v1/rank/switch", {{"hash", hash}, {"step", step}}, deadline);
  if (response.Status == ConflictStatus)
    return false;
  return parseResponse(endpoint(), response, [&](const nlohmann::json &json) {
    return json.at("hash").get<std::string>() == hash;
  });
}

nlohmann::json HttpEngine::expertCounts(base::TimePoint deadline) {
  auto response = Client.request("GET", "/v1/rank/counts", {}, {}, deadline);
  return parseResponse(endpoint(), response,
                       [](const nlohmann::json &json) { return json; });
}

adapterhttp::HttpResponse HttpEngine::post(const std::string &target,
                                           const nlohmann::json &body,
                                           base::TimePoint deadline) {
  return Client.request("POST", target, {{"Content-Type", "application/json"}},
                        body.dump(), deadline);
}

} // namespace bergamot::adapterengine
