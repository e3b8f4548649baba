#ifndef BERGAMOT_STANDIN_STANDINSERVER_H
#define BERGAMOT_STANDIN_STANDINSERVER_H

#include "adapterhttp/httpserver.h"
#include "standin/exchange.h"
#include "standin/faults.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace bergamot::standin {

/// The HTTP side that all stand-ins share: it serves `/faults` and applies
/// the faults to all other requests but those under `/debug`. The handler
/// answers 400 by throwing base::Error.
class StandinServer {
public:
  using Handler = std::function<void(Exchange &)>;

  /// Takes the fields that only one kind of stand-in knows out of the body of
  /// `POST /faults`.
  using FaultHook = std::function<void(nlohmann::json &)>;

  /// Listens on the endpoint, e.g. 127.0.0.1:0, with a limit of concurrent
  /// connections. Throws base::Error if that fails.
  StandinServer(const std::string &listenEndpoint, int connections,
                Handler handler, FaultHook hook = {});
  ~StandinServer();
  StandinServer(const StandinServer &) = delete;
  StandinServer &operator=(const StandinServer &) = delete;

  std::uint16_t port() const { return Server.port(); }
  Faults &faults() { return PresentFaults; }

private:
  void serve(const adapterhttp::HttpRequest &request,
             adapterhttp::HttpResponder &responder);
  void serveWithFaults(Exchange &exchange);
  void serveFaults(Exchange &exchange);

  Faults PresentFaults;
  std::atomic<bool> Stopping{false};
  Handler Handle;
  FaultHook Hook;
  adapterhttp::HttpServer Server;
};

} // namespace bergamot::standin

#endif
