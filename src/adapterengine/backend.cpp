#include "adapterengine/backend.h"

#include "adapterengine/responsejson.h"

#include <algorithm>

namespace bergamot::adapterengine {

namespace {

constexpr std::size_t MaxReadBytes = 32 * 1024;

} // namespace

bool HttpBackEnd::run(const BackEndCall &call, const CallDeadlines &deadlines,
                      const ResponseSink &sink, CancellationToken &cancel) {
  if (cancel.isCancelled())
    throw adapterhttp::HttpClientError(base::Step::Dispatch, endpoint(),
                                       endpoint() + ": request cancelled",
                                       false);
  auto headers = call.Headers;
  if (!call.Id.Value.empty())
    headers.push_back({"X-Request-Id", call.Id.Value});
  auto stream =
      Client.open(call.Method, call.Target, headers, call.Body,
                  std::min(deadlines.Head, deadlines.Response), &cancel);
  if (!sink.Head(stream->status(), stream->headers()))
    return false;
  for (;;) {
    auto deadline = std::min(deadlines.Response, base::TimePoint::clock::now() +
                                                     deadlines.ReadTimeout);
    std::string data = stream->read(MaxReadBytes, deadline);
    if (data.empty())
      return true;
    if (!sink.BodyData(data))
      return false;
  }
}

BackEndLoad HttpBackEnd::load(base::TimePoint deadline) {
  auto response = Client.request("GET", "/v1/load", {}, {}, deadline);
  return parseResponse(endpoint(), response, [](const nlohmann::json &json) {
    BackEndLoad load;
    load.BackEndIncarnation.Value = json.at("incarnation").get<std::uint64_t>();
    load.Running = json.at("running").get<std::uint32_t>();
    load.KvTokensUsed = json.at("kv_tokens_used").get<std::uint64_t>();
    load.KvTokensTotal = json.at("kv_tokens_total").get<std::uint64_t>();
    load.IsCold = json.at("cold").get<bool>();
    load.ReportTime =
        base::fromUnixMilliseconds(json.at("time_ms").get<std::int64_t>());
    return load;
  });
}

} // namespace bergamot::adapterengine
