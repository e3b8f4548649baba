#include "standin/enginestandin.h"

#include "adapterengine/promptblocks.h"
#include "libbergamotbase/error.h"

#include <algorithm>
#include <utility>

namespace bergamot::standin {

namespace {

constexpr std::size_t MaxStreams = 10000;
constexpr std::chrono::seconds WriteTimeout{30};
constexpr std::chrono::milliseconds CheckInterval{5};

} // namespace

EngineStandin::EngineStandin(const EngineOptions &options)
    : Options(options), State(options.Limits), Rank(options.Seed),
      Server(
          options.ListenEndpoint, options.Connections,
          [this](Exchange &exchange) { handle(exchange); },
          [this](nlohmann::json &faults) { takeCold(faults); }) {}

void EngineStandin::takeCold(nlohmann::json &faults) {
  auto it = faults.find("cold");
  if (it == faults.end())
    return;
  if (*it != false && *it != 0)
    State.setCold();
  faults.erase("cold");
}

void EngineStandin::handle(Exchange &exchange) {
  if (exchange.Path[0] == "debug")
    handleDebug(exchange);
  else if (State.isRestarting())
    exchange.Responder.drop();
  else if (exchange.is("POST", "/v1/chat/completions"))
    complete(exchange, true);
  else if (exchange.is("POST", "/v1/completions"))
    complete(exchange, false);
  else if (exchange.is("POST", "/v1/streams/*/resume"))
    resume(exchange);
  else if (!Rank.handle(exchange))
    handleOther(exchange);
}

void EngineStandin::handleOther(Exchange &exchange) {
  if (exchange.is("POST", "/v1/streams/*/cancel"))
    exchange.answer(200, {{"cancelled", State.cancel(exchange.Path[2])}});
  else if (exchange.is("GET", "/v1/load"))
    exchange.answer(200, State.loadReport());
  else if (exchange.is("GET", "/v1/cache_events"))
    answerEvents(exchange);
  else if (exchange.is("POST", "/v1/orders"))
    order(exchange);
  else if (exchange.is("GET", "/v1/models"))
    exchange.answer(200,
                    {{"object", "list"},
                     {"data", {{{"id", Options.Model}, {"object", "model"}}}}});
  else
    exchange.answerProblem(404, "no such endpoint");
}

void EngineStandin::handleDebug(Exchange &exchange) {
  if (exchange.is("GET", "/debug/stats")) {
    exchange.answer(200, State.stats());
  } else if (exchange.is("GET", "/debug/orders")) {
    std::vector<nlohmann::json> orders;
    {
      std::lock_guard lock(Mutex);
      orders = Orders;
    }
    exchange.answer(200, {{"orders", orders}});
  } else if (exchange.is("POST", "/debug/restart")) {
    State.restart();
    exchange.answer(200, State.stats());
  } else {
    exchange.answerProblem(404, "no such endpoint");
  }
}

void EngineStandin::complete(Exchange &exchange, bool isChat) {
  const std::string *id = exchange.Request.header("X-Request-Id");
  Completion completion =
      parseCompletion(exchange.body(), isChat, id ? *id : "unnamed");
  if (id && completion.IsStream)
    remember(completion);
  run(exchange, completion, 0);
}

void EngineStandin::resume(Exchange &exchange) {
  auto offset = exchange.body().at("offset").get<std::uint64_t>();
  auto completion = remembered(exchange.Path[2]);
  if (!completion) {
    exchange.answerProblem(404, "no such stream");
    return;
  }
  run(exchange, *completion, offset);
}

void EngineStandin::run(Exchange &exchange, const Completion &completion,
                        std::uint64_t offset) {
  std::uint64_t kvTokens = adapterengine::countPromptTokens(completion.Prompt) +
                           completion.MaxTokens;
  auto run = State.begin(completion.RequestId, kvTokens);
  if (!run) {
    exchange.Responder.drop();
    return;
  }
  bool isCompleted = completion.IsStream
                         ? sendStream(exchange, completion, *run, offset)
                         : sendPlain(exchange, completion, *run);
  State.finish(*run, isCompleted);
  if (!isCompleted)
    exchange.Responder.drop();
}

bool EngineStandin::sendStream(Exchange &exchange, const Completion &completion,
                               const EngineRun &run, std::uint64_t offset) {
  auto &responder = exchange.Responder;
  auto next = base::TimePoint::clock::now() +
              (run.IsCold ? Options.ColdFirstToken : Options.FirstToken);
  responder.start(200,
                  {{"Content-Type", "text/event-stream"},
                   {"X-Incarnation", std::to_string(run.Incarnation)}},
                  std::nullopt, base::TimePoint::clock::now() + WriteTimeout);
  std::uint64_t position = 0;
  for (std::uint32_t i = 0; i <= completion.MaxTokens; ++i) {
    std::string piece = streamPiece(completion, i);
    std::uint64_t begin = position;
    position += piece.size();
    if (position <= offset)
      continue;
    if (offset > begin)
      piece.erase(0, offset - begin);
    if (exchange.LosesAnswer && i > completion.MaxTokens / 2)
      return false;
    if (!waitForToken(exchange, run, next) ||
        !responder.write(piece, base::TimePoint::clock::now() + WriteTimeout))
      return false;
    if (i == 0)
      State.addBlocks(adapterengine::promptPrefixHashes(completion.Prompt));
    // The final event follows the last token at once.
    if (i + 1 < completion.MaxTokens)
      next += Options.TokenInterval;
  }
  // The run counts as ended before the client can see the end, so that a
  // client that reacts to it finds the memory free.
  State.finish(run, true);
  responder.finish();
  return true;
}

bool EngineStandin::sendPlain(Exchange &exchange, const Completion &completion,
                              const EngineRun &run) {
  auto time = base::TimePoint::clock::now() +
              (run.IsCold ? Options.ColdFirstToken : Options.FirstToken) +
              Options.TokenInterval * (completion.MaxTokens - 1);
  if (!waitForToken(exchange, run, time))
    return false;
  State.addBlocks(adapterengine::promptPrefixHashes(completion.Prompt));
  State.finish(run, true);
  exchange.answerBytes(200, plainBody(completion),
                       {{"Content-Type", "application/json"},
                        {"X-Incarnation", std::to_string(run.Incarnation)}});
  return true;
}

bool EngineStandin::waitForToken(const Exchange &exchange, const EngineRun &run,
                                 base::TimePoint time) const {
  for (;;) {
    if (!State.isRunning(run))
      return false;
    auto now = base::TimePoint::clock::now();
    if (now >= time)
      return true;
    if (!exchange.waitUntil(std::min(time, now + CheckInterval)))
      return false;
  }
}

void EngineStandin::order(Exchange &exchange) {
  auto body = exchange.body();
  body.at("kind").get<std::string>();
  auto fence = body.at("fence").get<std::uint64_t>();
  bool isStale = false;
  std::uint64_t highest = 0;
  {
    std::lock_guard lock(Mutex);
    isStale = Options.HonoursFence && fence < HighestFence;
    if (!isStale) {
      HighestFence = std::max(HighestFence, fence);
      Orders.push_back(body);
    }
    highest = HighestFence;
  }
  if (isStale)
    exchange.answerProblem(409, "the fencing token is stale: " +
                                    std::to_string(highest) + " was seen");
  else
    exchange.answer(200, {{"accepted", true}, {"fence", fence}});
}

void EngineStandin::answerEvents(Exchange &exchange) {
  nlohmann::json body = State.cacheEvents(exchange.number("from", 0));
  auto &events = body["events"];
  const std::string &path = exchange.Request.Path;
  if (Server.faults().take(Fault::Repeat, path)) {
    nlohmann::json copy = events;
    events.insert(events.end(), copy.begin(), copy.end());
  }
  if (Server.faults().take(Fault::Reorder, path))
    std::reverse(events.begin(), events.end());
  exchange.answer(200, body);
}

void EngineStandin::remember(const Completion &completion) {
  std::lock_guard lock(Mutex);
  if (Streams.insert_or_assign(completion.RequestId, completion).second)
    StreamOrder.push_back(completion.RequestId);
  if (StreamOrder.size() > MaxStreams) {
    Streams.erase(StreamOrder.front());
    StreamOrder.pop_front();
  }
}

std::optional<Completion>
EngineStandin::remembered(const std::string &requestId) const {
  std::lock_guard lock(Mutex);
  auto it = Streams.find(requestId);
  if (it == Streams.end())
    return std::nullopt;
  return it->second;
}

} // namespace bergamot::standin
