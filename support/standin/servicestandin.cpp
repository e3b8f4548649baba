#include "standin/servicestandin.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"
#include "standin/platformstandin.h"

#include <algorithm>
#include <charconv>

namespace bergamot::standin {

namespace {

constexpr std::int64_t InitialStock = 1000000;
constexpr std::size_t MaxLargeBytes = 256 * 1024 * 1024;
constexpr std::size_t WritePieceBytes = 64 * 1024;
constexpr std::chrono::seconds WriteTimeout{30};

std::uint64_t startIncarnation() {
  return static_cast<std::uint64_t>(base::toUnixMilliseconds(base::wallNow()));
}

} // namespace

ServiceStandin::ServiceStandin(const ServiceOptions &options)
    : Options(options), Incarnation(startIncarnation()),
      Server(options.ListenEndpoint, options.Connections,
             [this](Exchange &exchange) { handle(exchange); }) {}

std::uint64_t ServiceStandin::executions(const std::string &orderId) const {
  std::lock_guard lock(Mutex);
  auto it = Executions.find(orderId);
  return it == Executions.end() ? 0 : it->second;
}

std::string ServiceStandin::largeContent(std::size_t bytes) {
  return PlatformStandin::weightContent("large", bytes);
}

void ServiceStandin::handle(Exchange &exchange) {
  if (exchange.Path[0] == "debug" || exchange.is("GET", "/v1/load")) {
    handleDebug(exchange);
    return;
  }
  {
    std::lock_guard lock(Mutex);
    ++Requests;
    HighestRunning = std::max(HighestRunning, ++Running);
    if (Options.MaxRunning != 0 && Running > Options.MaxRunning)
      ++Overloads;
  }
  try {
    route(exchange);
  } catch (...) {
    std::lock_guard lock(Mutex);
    --Running;
    throw;
  }
  std::lock_guard lock(Mutex);
  --Running;
}

void ServiceStandin::route(Exchange &exchange) {
  // The work goes on when the caller leaves, as in a service that has begun
  // to change its state.
  exchange.waitUntil(base::TimePoint::clock::now() + Options.WorkTime);
  if (exchange.is("POST", "/reservations") || exchange.is("POST", "/entries") ||
      exchange.is("POST", "/fees"))
    execute(exchange);
  else if (exchange.is("GET", "/stock/*"))
    handleStock(exchange);
  else if (exchange.is("GET", "/large/*"))
    handleLarge(exchange);
  else
    exchange.answerProblem(404, "no such endpoint");
}

void ServiceStandin::execute(Exchange &exchange) {
  auto body = exchange.body();
  auto orderId = body.at("order_id").get<std::string>();
  auto item = body.value("item", std::string());
  auto quantity = body.value("quantity", std::int64_t{1});
  nlohmann::json answer = {
      {"order_id", orderId}, {"item", item}, {"quantity", quantity}};
  {
    std::lock_guard lock(Mutex);
    answer["execution"] = ++Executions[orderId];
    answer["number"] = ++ExecutionTotal;
    Reserved[item] += quantity;
  }
  exchange.answer(201, answer);
}

void ServiceStandin::handleStock(Exchange &exchange) {
  const std::string &item = exchange.Path[1];
  std::int64_t available = InitialStock;
  {
    std::lock_guard lock(Mutex);
    if (auto it = Reserved.find(item); it != Reserved.end())
      available -= it->second;
  }
  exchange.answer(200, {{"item", item}, {"available", available}});
}

void ServiceStandin::handleLarge(Exchange &exchange) {
  const std::string &text = exchange.Path[1];
  std::size_t bytes = 0;
  const char *end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, bytes);
  if (parsed.ec != std::errc() || parsed.ptr != end || bytes > MaxLargeBytes)
    throw base::Error(base::Step::Parse, "", "bad size " + text);
  std::string content = largeContent(bytes);
  std::vector<adapterhttp::HttpHeader> headers = {
      {"Content-Type", "application/octet-stream"},
      {"X-Content-Hash", std::to_string(base::xxHash64(content))}};
  if (exchange.number("chunked", 0) == 0) {
    exchange.answerBytes(200, content, headers);
    return;
  }
  exchange.Responder.start(200, headers, std::nullopt,
                           base::TimePoint::clock::now() + WriteTimeout);
  std::string_view rest = content;
  while (!rest.empty()) {
    if (exchange.LosesAnswer && rest.size() <= content.size() / 2) {
      exchange.Responder.drop();
      return;
    }
    std::string_view piece = rest.substr(0, WritePieceBytes);
    if (!exchange.Responder.write(piece,
                                  base::TimePoint::clock::now() + WriteTimeout))
      return;
    rest.remove_prefix(piece.size());
  }
  exchange.Responder.finish();
}

void ServiceStandin::handleDebug(Exchange &exchange) {
  nlohmann::json body;
  {
    std::lock_guard lock(Mutex);
    if (exchange.is("GET", "/debug/executions"))
      body = {{"executions", Executions}, {"total", ExecutionTotal}};
    else if (exchange.is("GET", "/debug/stats"))
      body = {{"requests", Requests},
              {"running", Running},
              {"highest_running", HighestRunning},
              {"overloads", Overloads}};
    else
      body = {{"incarnation", Incarnation},
              {"running", Running},
              {"kv_tokens_used", 0},
              {"kv_tokens_total", 0},
              {"cold", false},
              {"time_ms", base::toUnixMilliseconds(base::wallNow())}};
  }
  exchange.answer(200, body);
}

} // namespace bergamot::standin
