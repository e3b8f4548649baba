#include "standin/exchange.h"

#include "libbergamotbase/error.h"
#include "libbergamotbase/urlquery.h"

#include <charconv>
#include <thread>

namespace bergamot::standin {

namespace {

constexpr std::chrono::seconds WriteTimeout{30};
constexpr std::chrono::milliseconds CheckInterval{10};

std::vector<std::string> split(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    path.remove_prefix(1);
    std::string_view part = path.substr(0, path.find('/'));
    parts.emplace_back(part);
    path.remove_prefix(part.size());
  }
  return parts;
}

} // namespace

Exchange::Exchange(const adapterhttp::HttpRequest &request,
                   adapterhttp::HttpResponder &responder,
                   const std::atomic<bool> &stopping)
    : Request(request), Responder(responder), Path(split(request.Path)),
      Stopping(stopping) {}

bool Exchange::is(std::string_view method, std::string_view pattern) const {
  if (Request.Method != method)
    return false;
  std::vector<std::string> parts = split(pattern);
  if (parts.size() != Path.size())
    return false;
  for (std::size_t i = 0; i < parts.size(); ++i)
    if (parts[i] != "*" && parts[i] != Path[i])
      return false;
  return true;
}

nlohmann::json Exchange::body() const {
  auto parsed = nlohmann::json::parse(Request.Body, nullptr, false);
  if (parsed.is_discarded())
    throw base::Error(base::Step::Parse, "", "the body is not JSON");
  return parsed;
}

std::uint64_t Exchange::number(std::string_view name,
                               std::uint64_t fallback) const {
  std::string text = base::queryParameter(Request.Query, name);
  if (text.empty())
    return fallback;
  std::uint64_t value = 0;
  const char *end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    throw base::Error(base::Step::Parse, "",
                      std::string(name) + " is not a number");
  return value;
}

void Exchange::answer(int status, const nlohmann::json &body,
                      std::vector<adapterhttp::HttpHeader> headers) {
  headers.push_back({"Content-Type", "application/json"});
  answerBytes(status, body.dump(), headers);
}

void Exchange::answerBytes(
    int status, std::string_view bytes,
    const std::vector<adapterhttp::HttpHeader> &headers) {
  if (LosesAnswer) {
    Responder.drop();
    return;
  }
  Responder.respond(status, headers, bytes,
                    base::TimePoint::clock::now() + WriteTimeout);
}

void Exchange::answerProblem(int status, std::string_view detail,
                             std::vector<adapterhttp::HttpHeader> headers) {
  headers.push_back({"Content-Type", "application/problem+json"});
  answerBytes(status, adapterhttp::problemDocument(status, detail, "no"),
              headers);
}

bool Exchange::waitUntil(base::TimePoint time) const {
  while (!isAbandoned()) {
    auto now = base::TimePoint::clock::now();
    if (now >= time)
      return true;
    std::this_thread::sleep_until(std::min(time, now + CheckInterval));
  }
  return false;
}

bool Exchange::isAbandoned() const {
  return Stopping || Responder.isClientGone();
}

} // namespace bergamot::standin
