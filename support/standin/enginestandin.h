#ifndef BERGAMOT_STANDIN_ENGINESTANDIN_H
#define BERGAMOT_STANDIN_ENGINESTANDIN_H

#include "standin/completion.h"
#include "standin/enginestate.h"
#include "standin/rankstate.h"
#include "standin/standinserver.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::standin {

/// Settings of the engine stand-in.
struct EngineOptions {
  std::string ListenEndpoint = "127.0.0.1:0";
  int Connections = 256;
  std::string Model = "default";
  EngineLimits Limits;
  std::chrono::milliseconds FirstToken{0};
  /// Time to the first token while the engine is cold.
  std::chrono::milliseconds ColdFirstToken{0};
  std::chrono::milliseconds TokenInterval{0};
  /// Whether orders with a stale fencing token are refused.
  bool HonoursFence = true;
  std::uint64_t Seed = 1;
};

/// Stands in for an engine: completions plain and streamed, resume and cancel
/// by X-Request-Id, load report, cache events, orders and rank endpoints.
/// `GET /debug/stats` counts overloads, `GET /debug/orders` lists accepted
/// orders, and `POST /debug/restart` restarts the engine.
class EngineStandin {
public:
  explicit EngineStandin(const EngineOptions &options);

  std::uint16_t port() const { return Server.port(); }
  Faults &faults() { return Server.faults(); }
  EngineState &state() { return State; }

private:
  void handle(Exchange &exchange);
  void handleOther(Exchange &exchange);
  void handleDebug(Exchange &exchange);
  void complete(Exchange &exchange, bool isChat);
  void resume(Exchange &exchange);
  void order(Exchange &exchange);
  void answerEvents(Exchange &exchange);
  void run(Exchange &exchange, const Completion &completion,
           std::uint64_t offset);
  bool sendStream(Exchange &exchange, const Completion &completion,
                  const EngineRun &run, std::uint64_t offset);
  bool sendPlain(Exchange &exchange, const Completion &completion,
                 const EngineRun &run);
  bool waitForToken(const Exchange &exchange, const EngineRun &run,
                    base::TimePoint time) const;
  void takeCold(nlohmann::json &faults);
  void remember(const Completion &completion);
  std::optional<Completion> remembered(const std::string &requestId) const;

  EngineOptions Options;
  EngineState State;
  RankState Rank;
  mutable std::mutex Mutex;
  std::map<std::string, Completion> Streams;
  std::deque<std::string> StreamOrder;
  std::uint64_t HighestFence = 0;
  std::vector<nlohmann::json> Orders;
  StandinServer Server;
};

} // namespace bergamot::standin

#endif
