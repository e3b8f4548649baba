#include "adapterengine/backend.h"

#include "adapterengine/responsejson.h"

#include <algorithm>

namespace bergamot::adapterengine {

namespace {

constexpr std::size_t PieceBytes = 32 * 1024;

} // namespace

bool HttpBackEnd::run(const BackEndCall &call, const CallDeadlines &deadlines,
                      const ResponseSink &sink, CallCancel &cancel) {
  if (cancel.isCancelled())
    throw adapterhttp::HttpClientError(
        base::Step::Dispatch, endpoint(),
        endpoint() + ": the request was cancelled", false);
  auto headers = call.Headers;
  if (!call.Id.Value.empty())
    headers.push_back({"X-Request-Id", call.Id.Value});
  auto stream = Client.open(call.Method, call.Target, headers, call.Body,
                            std::min(deadlines.Head, deadlines.Whole), &cancel);
  if (!sink.Head(stream->status(), stream->headers()))
    return false;
  for (;;) {
    auto deadline = std::min(deadlines.Whole, base::TimePoint::clock::now() +
                                                  deadlines.PieceTimeout);
    std::string piece = stream->read(PieceBytes, deadline);
    if (piece.empty())
      return true;
    if (!sink.Piece(piece))
      return false;
  }
}

BackEndLoad HttpBackEnd::load(base::TimePoint deadline) {
  auto response = Client.request("GET", "/v1/load", {}, {}, deadline);
  return parseResponse(endpoint(), response, [](const nlohmann::json &json) {
    BackEndLoad load;
    load.BackEnd.Value = json.at("incarnation").get<std::uint64_t>();
    load.Running = json.at("running").get<std::uint32_t>();
    load.KvTokensUsed = json.at("kv_tokens_used").get<std::uint64_t>();
    load.KvTokensTotal = json.at("kv_tokens_total").get<std::uint64_t>();
    load.Cold = json.at("cold").get<bool>();
    load.Time =
        base::fromUnixMilliseconds(json.at("time_ms").get<std::int64_t>());
    return load;
  });
}

} // namespace bergamot::adapterengine
