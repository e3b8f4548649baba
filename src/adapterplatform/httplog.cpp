#include "adapterplatform/httplog.h"

#include "libbergamotbase/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamot::adapterplatform {

using base::Error;
using base::Step;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Part of the time until a read's deadline that is reserved for transferring
/// the response. The log may wait for records during the rest.
constexpr milliseconds TransferReserve{500};

nlohmann::json parseResponse(const adapterhttp::HttpResponse &response,
                             const std::string &stream) {
  if (response.Status != 200)
    throw Error(Step::Log, stream,
                "the log answered with status " +
                    std::to_string(response.Status));
  return nlohmann::json::parse(response.Body);
}

LogPage parseLogPage(const nlohmann::json &json) {
  LogPage page;
  page.Next = base::LogOffset{json.at("next").get<std::uint64_t>()};
  page.Earliest = base::LogOffset{json.at("earliest").get<std::uint64_t>()};
  for (const auto &it : json.at("records"))
    page.Records.push_back(
        {base::LogOffset{it.at("offset").get<std::uint64_t>()},
         base::fromUnixMilliseconds(it.at("time_ms").get<std::int64_t>()),
         it.at("data").get<std::string>()});
  return page;
}

} // namespace

base::LogOffset HttpLog::append(const std::string &stream,
                                const std::vector<std::string> &records,
                                base::TimePoint deadline) {
  const nlohmann::json body = {{"records", records}};
  const auto response = Client.request(
      "POST", "/v1/streams/" + stream + "/records",
      {{"Content-Type", "application/json"}}, body.dump(), deadline);
  try {
    return base::LogOffset{parseResponse(response, stream)
                               .at("first_offset")
                               .get<std::uint64_t>()};
  } catch (const nlohmann::json::exception &e) {
    throw Error(Step::Log, stream, e.what());
  }
}

LogPage HttpLog::read(const std::string &stream, base::LogOffset from,
                      std::size_t limit, base::TimePoint deadline) {
  const auto remaining =
      std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
  const auto wait = std::max(milliseconds(0), remaining - TransferReserve);
  const std::string target = "/v1/streams/" + stream +
                             "/records?from=" + std::to_string(from.Value) +
                             "&limit=" + std::to_string(limit) +
                             "&wait_ms=" + std::to_string(wait.count());
  const auto response = Client.request("GET", target, {}, "", deadline);
  try {
    return parseLogPage(parseResponse(response, stream));
  } catch (const nlohmann::json::exception &e) {
    throw Error(Step::Log, stream, e.what());
  }
}

} // namespace bergamot::adapterplatform
