#ifndef BERGAMOT_STANDIN_SERVICESTANDIN_H
#define BERGAMOT_STANDIN_SERVICESTANDIN_H

#include "standin/standinserver.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace bergamot::standin {

/// Settings of the service stand-in.
struct ServiceOptions {
  std::string ListenEndpoint = "127.0.0.1:0";
  int Connections = 128;
  /// Time that each request takes.
  std::chrono::milliseconds WorkTime{0};
  /// Concurrent requests above which an overload is counted; 0 means no limit.
  std::uint32_t MaxRunning = 0;
};

/// Stands in for a plain service: `POST /reservations`, `/entries` and `/fees`
/// execute something on every call, also for a repeated order id, and
/// `GET /debug/executions` returns how often for each order id.
/// `GET /stock/<item>` is idempotent. `GET /large/<bytes>` returns content of
/// that size with its xxHash64 in X-Content-Hash, in chunks with `?chunked=1`.
/// `GET /v1/load` reports load and `GET /debug/stats` counts overloads.
class ServiceStandin {
public:
  explicit ServiceStandin(const ServiceOptions &options);

  std::uint16_t port() const { return Server.port(); }
  Faults &faults() { return Server.faults(); }

  /// Returns how often the order was executed.
  std::uint64_t executions(const std::string &orderId) const;

  /// Returns the body of `GET /large/<bytes>`.
  static std::string largeContent(std::size_t bytes);

private:
  void handle(Exchange &exchange);
  void route(Exchange &exchange);
  void execute(Exchange &exchange);
  void handleStock(Exchange &exchange);
  void handleLarge(Exchange &exchange);
  void handleDebug(Exchange &exchange);

  ServiceOptions Options;
  std::uint64_t Incarnation;
  mutable std::mutex Mutex;
  std::map<std::string, std::uint64_t> Executions;
  std::map<std::string, std::int64_t> Reserved;
  std::uint64_t ExecutionTotal = 0;
  std::uint32_t Running = 0;
  std::uint32_t HighestRunning = 0;
  std::uint64_t Overloads = 0;
  std::uint64_t Requests = 0;
  StandinServer Server;
};

} // namespace bergamot::standin

#endif
