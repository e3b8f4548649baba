#include "bergamotd/callerrequest.h"

#include "adapterengine/promptblocks.h"
#include "bergamotd/problem.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace bergamot::bergamotd {

using adapterhttp::HttpRequest;
using base::Step;

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::size_t LongestKey = 255;
constexpr std::uint64_t MostOutputTokens = 1'000'000;

/// Headers of callers that are passed on to the back end.
constexpr std::array PassedHeaders = {"content-type", "accept",
                                      "accept-language"};

bool equalsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

std::string headerOr(const HttpRequest &http, std::string_view name,
                     const std::string &fallback) {
  const std::string *value = http.header(name);
  return value != nullptr ? *value : fallback;
}

base::TimePoint parseDeadline(const HttpRequest &http,
                              const CallerLimits &limits, base::TimePoint now) {
  const std::string *text = http.header("X-Request-Deadline-Ms");
  if (text == nullptr)
    return now + limits.DefaultDeadline;
  std::int64_t ms = 0;
  const auto [end, ec] =
      std::from_chars(text->data(), text->data() + text->size(), ms);
  if (ec != std::errc() || end != text->data() + text->size() || ms < 1 ||
      ms > limits.LongestDeadline.count())
    throw ProblemError(400, Step::Parse, "",
                       "X-Request-Deadline-Ms must be 1 to " +
                           std::to_string(limits.LongestDeadline.count()));
  return now + std::chrono::milliseconds(ms);
}

nlohmann::json parseBody(const std::string &body) {
  auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object())
    throw ProblemError(400, Step::Parse, "", "the body is no JSON object");
  return json;
}

std::uint64_t outputTokens(const nlohmann::json &json,
                           const config::Service &service) {
  for (const char *name : {"max_completion_tokens", "max_tokens"}) {
    const auto it = json.find(name);
    if (it == json.end() || it->is_null())
      continue;
    if (!it->is_number_unsigned() || it->get<std::uint64_t>() < 1 ||
        it->get<std::uint64_t>() > MostOutputTokens)
      throw ProblemError(400, Step::Parse, "",
                         std::string(name) + " must be 1 to " +
                             std::to_string(MostOutputTokens));
    return it->get<std::uint64_t>();
  }
  return service.Limits.DefaultMaximumOutputTokens;
}

std::string promptOf(const nlohmann::json &json) {
  try {
    return adapterengine::promptText(json);
  } catch (const base::Error &e) {
    throw ProblemError(400, Step::Parse, "", e.what());
  }
}

void readModelCall(CallerRequest &call, const HttpRequest &http,
                   const ActiveConfig &active) {
  if (http.Method != "POST")
    throw ProblemError(405, Step::Parse, "", "completions take POST");
  auto json = parseBody(http.Body);
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string())
    throw ProblemError(400, Step::Parse, "", "the member 'model' is missing");
  const auto name = model->get<std::string>();
  const config::Service *service = active.Index.serviceByModel(name);
  if (service == nullptr)
    throw ProblemError(404, Step::Route, "",
                       "no service offers the model '" + name + "'");
  const std::uint64_t output = outputTokens(json, *service);
  // The engine gets the limit that was reserved even if the caller named none.
  if (!json.contains("max_tokens") && !json.contains("max_completion_tokens"))
    json["max_tokens"] = output;
  const auto stream = json.find("stream");
  call.IsStreaming =
      stream != json.end() && stream->is_boolean() && stream->get<bool>();
  call.Service = service->Id;
  call.Kind = service->Kind;
  call.Path = http.Path;
  call.Body = json.dump();
  // A token has at least one byte, so the prompt's size bounds its tokens.
  const std::string prompt = promptOf(json);
  call.PromptBlocks = adapterengine::promptPrefixHashes(prompt);
  call.Units = prompt.size() + output;
}

void readServiceCall(CallerRequest &call, const HttpRequest &http,
                     const ActiveConfig &active) {
  const std::string rest = http.Path.substr(ServicesPrefix.size());
  const auto slash = rest.find('/');
  const std::string name = rest.substr(0, slash);
  const config::Service *service = active.Index.service(name);
  if (service == nullptr || service->Kind != config::ServiceKind::Plain)
    throw ProblemError(404, Step::Route, "", "no service '" + name + "'");
  call.Service = service->Id;
  call.Kind = service->Kind;
  call.Path = slash == std::string::npos ? "/" : rest.substr(slash);
  call.Body = http.Body;
  call.Units = std::max<std::uint64_t>(1, http.Body.size());
}

void readHeaders(CallerRequest &call, const HttpRequest &http) {
  for (const auto &header : http.Headers)
    for (const char *passed : PassedHeaders)
      if (equalsIgnoringCase(header.Name, passed))
        call.Headers.push_back(header);
  call.IdempotencyKey = headerOr(http, "Idempotency-Key", "");
  if (call.IdempotencyKey.size() > LongestKey)
    throw ProblemError(400, Step::Parse, "",
                       "Idempotency-Key is longer than " +
                           std::to_string(LongestKey) + " bytes");
  if (!call.IdempotencyKey.empty())
    call.Headers.push_back({"Idempotency-Key", call.IdempotencyKey});
}

} // namespace

const config::ClientAccount &authenticate(const HttpRequest &http,
                                          const ActiveConfig &active) {
  const std::string *header = http.header("Authorization");
  if (header == nullptr || !header->starts_with(BearerPrefix))
    throw ProblemError(401, Step::Authenticate, "",
                       "Authorization: Bearer <key> is missing");
  const auto *account = active.Index.accountByKey(
      std::string_view(*header).substr(BearerPrefix.size()));
  if (account == nullptr)
    throw ProblemError(401, Step::Authenticate, "", "the key is unknown");
  return *account;
}

CallerRequest parseCallerRequest(const HttpRequest &http,
                                 const ActiveConfig &active,
                                 const CallerLimits &limits,
                                 base::RequestId request, base::TimePoint now) {
  const auto &account = authenticate(http, active);
  CallerRequest call;
  call.Request = std::move(request);
  call.CallerRequestId = headerOr(http, "X-Request-Id", call.Request.Value);
  call.Account = account.Id;
  call.Priority = account.Priority;
  call.Weight = account.Weight;
  call.Method = http.Method;
  call.Deadline = parseDeadline(http, limits, now);
  readHeaders(call, http);
  if (http.Path == "/v1/chat/completions" || http.Path == "/v1/completions")
    readModelCall(call, http, active);
  else if (http.Path.starts_with(ServicesPrefix))
    readServiceCall(call, http, active);
  else
    throw ProblemError(404, Step::Parse, "", "no such path");
  const auto *service = active.Index.service(call.Service.Value);
  call.IsIdempotent = config::isIdempotent(*service, call.Method, call.Path);
  if (http.Body.size() > service->Limits.MaximumBodyBytes)
    throw ProblemError(413, Step::Parse, "",
                       "the body exceeds " +
                           std::to_string(service->Limits.MaximumBodyBytes) +
                           " bytes");
  if (!http.Query.empty())
    call.Path += "?" + http.Query;
  return call;
}

} // namespace bergamot::bergamotd
