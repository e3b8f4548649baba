#ifndef BERGAMOT_ADAPTERHTTP_HTTPSERVER_H
#define BERGAMOT_ADAPTERHTTP_HTTPSERVER_H

#include "adapterhttp/httpmessage.h"
#include "adapterhttp/httpresponder.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bergamot::adapterhttp {

/// Limits and address of a server.
struct HttpServerOptions {
  /// IP address and port, such as 127.0.0.1:8080. Port 0 picks a free one.
  std::string ListenEndpoint = "127.0.0.1:0";
  /// Each open connection occupies one worker thread. Above three quarters of
  /// them, responses end with `Connection: close`.
  int WorkerThreads = 64;
  /// A longer request head is answered with 431.
  std::size_t MaxHeaderBytes = 16 * 1024;
  /// A longer request body is answered with 413.
  std::size_t MaxBodyBytes = 1024 * 1024;
  /// Bounds the time to receive a request's head, and then its body. Slower
  /// senders get 408.
  std::chrono::milliseconds RequestTimeout{10000};
};

/// Handles one request on a worker thread of the server, whose stack has only
/// 100 KiB. Several run at once. An exception before the response started
/// becomes a 500 problem document; after it, the response is cut.
using HttpHandler = std::function<void(const HttpRequest &, HttpResponder &)>;

/// An HTTP/1.1 server. It answers errors of its own as RFC 9457 problem
/// documents.
class HttpServer {
public:
  /// Starts to listen. Throws base::Error if the endpoint is invalid or taken.
  HttpServer(HttpServerOptions options, HttpHandler handler);

  /// Stops the server if stop() was not called.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Returns the port that the server listens on.
  std::uint16_t port() const;

  /// Stops the server: requests that arrive from now on get 503, those that
  /// are being handled run to their end, then all threads end. Must not be
  /// called by a handler.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Server;
};

} // namespace bergamot::adapterhttp

#endif
