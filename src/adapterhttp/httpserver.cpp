#include "adapterhttp/httpserver.h"

#include "adapterhttp/endpoint.h"
#include "adapterhttp/serversocket.h"
#include "libbergamotbase/error.h"
#include "libbergamotbase/jsonlog.h"

#include <civetweb.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <utility>

namespace bergamot::adapterhttp {

namespace {

constexpr std::chrono::seconds ErrorWriteTimeout{1};

/// An idle connection holds a worker thread, so that it is kept only briefly.
/// HttpClient reuses connections that were idle for at most half of this.
constexpr std::chrono::milliseconds KeepAliveTimeout{4000};

constexpr std::size_t ReadPieceBytes = 16 * 1024;

const std::vector<HttpHeader> ProblemHeaders = {
    {"Content-Type", "application/problem+json"}};

/// State of one open connection.
struct ConnectionState {
  /// -1 until the first request: CivetWeb doesn't know the peer's address
  /// when it reports a new connection.
  int Socket = -1;
  bool Busy = false;
  /// When the wait for the present request began.
  base::TimePoint WaitingSince;
};

HttpRequest toRequest(const mg_request_info &info) {
  HttpRequest request;
  request.Method = info.request_method;
  request.Path = info.request_uri ? info.request_uri : "";
  request.Query = info.query_string ? info.query_string : "";
  request.RemoteAddress = info.remote_addr;
  request.Headers.reserve(static_cast<std::size_t>(info.num_headers));
  for (int i = 0; i < info.num_headers; ++i)
    request.Headers.push_back(
        {info.http_headers[i].name, info.http_headers[i].value});
  return request;
}

int socketOf(const mg_connection *connection, ConnectionState &state) {
  if (state.Socket < 0)
    state.Socket = findConnectionSocket(connection);
  return state.Socket;
}

std::size_t headBytes(const HttpRequest &request) {
  constexpr std::size_t SeparatorBytes = 4; // ": " and the line break
  std::size_t sum = request.Method.size() + request.Path.size() +
                    request.Query.size() +
                    std::string_view(" ? HTTP/1.1\r\n").size();
  for (const HttpHeader &it : request.Headers)
    sum += it.Name.size() + it.Value.size() + SeparatorBytes;
  return sum;
}

/// Returns whether the framing headers allow two readings of where the body
/// ends, which could smuggle a second request past a proxy.
bool isFramingAmbiguous(const HttpRequest &request) {
  std::size_t lengths = 0;
  bool encoded = request.header("Transfer-Encoding") != nullptr;
  for (const HttpHeader &it : request.Headers)
    if (mg_strcasecmp(it.Name.c_str(), "Content-Length") == 0)
      ++lengths;
  return lengths > 1 || (lengths == 1 && encoded);
}

} // namespace

struct HttpServer::Impl {
  HttpServerOptions Options;
  HttpHandler Handler;
  ReadDeadlines Reads;
  std::mutex Mutex;
  std::condition_variable Idle;
  std::map<const mg_connection *, ConnectionState> Connections;
  std::size_t Handling = 0;
  bool Stopping = false;
  mg_context *Context = nullptr;
  std::uint16_t Port = 0;

  Impl(HttpServerOptions options, HttpHandler handler)
      : Options(std::move(options)), Handler(std::move(handler)) {
    startContext();
  }
  ~Impl() { stop(); }

  void startContext();
  void stop();
  void addConnection(const mg_connection *connection);
  void removeConnection(const mg_connection *connection);
  int handle(mg_connection *connection);
  void serve(mg_connection *connection, int socket, bool keepAlive,
             bool refused);
  int readBody(mg_connection *connection, int socket, HttpRequest &request);
  void callHandler(const HttpRequest &request, HttpResponder &responder);
  int sendError(mg_connection *connection, int status, const char *message);

  static Impl &of(const mg_connection *connection) {
    return *static_cast<Impl *>(mg_get_user_context_data(connection));
  }
};

void HttpServer::Impl::startContext() {
  static std::once_flag initialised;
  std::call_once(initialised, [] { mg_init_library(MG_FEATURES_DEFAULT); });
  parseEndpoint(Options.ListenEndpoint); // throws if it is not an endpoint
  mg_callbacks callbacks{};
  callbacks.begin_request = [](mg_connection *c) { return of(c).handle(c); };
  callbacks.http_error = [](mg_connection *c, int status, const char *text) {
    return of(c).sendError(c, status, text);
  };
  callbacks.init_connection = [](const mg_connection *c, void **) {
    of(c).addConnection(c);
    return 0;
  };
  callbacks.connection_close = [](const mg_connection *c) {
    of(c).removeConnection(c);
  };
  callbacks.log_message = [](const mg_connection *, const char *text) {
    base::logInfo("http.library", {{"message", text}});
    return 1;
  };
  std::string threads = std::to_string(Options.WorkerThreads);
  std::string timeout = std::to_string(Options.RequestTimeout.count());
  std::string idle = std::to_string(KeepAliveTimeout.count());
  // Heads up to twice the limit are read, so that they get a clear answer.
  std::string headerBytes = std::to_string(2 * Options.MaxHeaderBytes);
  const char *settings[] = {"listening_ports",
                            Options.ListenEndpoint.c_str(),
                            "num_threads",
                            threads.c_str(),
                            "connection_queue",
                            threads.c_str(),
                            "listen_backlog",
                            "1024",
                            "request_timeout_ms",
                            timeout.c_str(),
                            "keep_alive_timeout_ms",
                            idle.c_str(),
                            "max_request_size",
                            headerBytes.c_str(),
                            "enable_keep_alive",
                            "yes",
                            "tcp_nodelay",
                            "1",
                            "decode_url",
                            "no",
                            nullptr};
  Context = mg_start(&callbacks, this, settings);
  if (!Context)
    throw base::Error(base::Step::Settings, Options.ListenEndpoint,
                      "cannot listen on " + Options.ListenEndpoint);
  mg_server_port ports[1] = {};
  if (mg_get_server_ports(Context, 1, ports) > 0)
    Port = static_cast<std::uint16_t>(ports[0].port);
}

void HttpServer::Impl::stop() {
  if (!Context)
    return;
  {
    std::unique_lock lock(Mutex);
    Stopping = true;
    for (auto &[connection, it] : Connections)
      if (!it.Busy)
        shutdown(it.Socket, SHUT_RD);
    Idle.wait(lock, [this] { return Handling == 0; });
  }
  // CivetWeb's accepting thread looks for the end only every 2 s; shutting
  // the listening socket down wakes it.
  if (int listening = findListeningSocket(Port); listening >= 0)
    shutdown(listening, SHUT_RDWR);
  mg_stop(std::exchange(Context, nullptr));
}

void HttpServer::Impl::addConnection(const mg_connection *connection) {
  ConnectionState added;
  added.WaitingSince = base::TimePoint::clock::now();
  std::lock_guard lock(Mutex);
  Connections[connection] = added;
}

void HttpServer::Impl::removeConnection(const mg_connection *connection) {
  std::lock_guard lock(Mutex);
  Connections.erase(connection);
}

int HttpServer::Impl::handle(mg_connection *connection) {
  int socket = -1;
  bool keepAlive = false;
  bool refused = false;
  {
    std::lock_guard lock(Mutex);
    ConnectionState &it = Connections[connection];
    it.Busy = true;
    ++Handling;
    socket = socketOf(connection, it);
    refused = Stopping;
    keepAlive =
        !Stopping && Connections.size() * 4 <=
                         static_cast<std::size_t>(Options.WorkerThreads) * 3;
  }
  serve(connection, socket, keepAlive, refused);
  std::lock_guard lock(Mutex);
  ConnectionState &it = Connections[connection];
  it.Busy = false;
  it.WaitingSince = base::TimePoint::clock::now();
  if (--Handling == 0)
    Idle.notify_all();
  if (Stopping)
    shutdown(socket, SHUT_RD);
  return 200;
}

void HttpServer::Impl::serve(mg_connection *connection, int socket,
                             bool keepAlive, bool refused) {
  HttpRequest request = toRequest(*mg_get_request_info(connection));
  const std::string *asked = request.header("Connection");
  if (asked && mg_strcasecmp(asked->c_str(), "close") == 0)
    keepAlive = false;
  HttpResponder responder(connection, socket, keepAlive);
  int status = refused ? 503 : readBody(connection, socket, request);
  if (status != 0) {
    // The rest of the body was not read, so that the connection can't be used
    // for another request.
    mg_disable_connection_keep_alive(connection);
    sendError(connection, status, refused ? "the server is stopping" : "");
    return;
  }
  callHandler(request, responder);
  if (!responder.isFinished())
    mg_disable_connection_keep_alive(connection);
}

int HttpServer::Impl::readBody(mg_connection *connection, int socket,
                               HttpRequest &request) {
  long long length = mg_get_request_info(connection)->content_length;
  bool encoded = request.header("Transfer-Encoding") != nullptr;
  if (headBytes(request) > Options.MaxHeaderBytes)
    return 431;
  if (isFramingAmbiguous(request))
    return 400;
  if (length > 0 &&
      static_cast<unsigned long long>(length) > Options.MaxBodyBytes)
    return 413;
  if (length <= 0 && !encoded)
    return 0;
  auto deadline = base::TimePoint::clock::now() + Options.RequestTimeout;
  Reads.set(socket, deadline);
  std::string piece(ReadPieceBytes, '\0');
  int status = 0;
  while (status == 0) {
    int n = mg_read(connection, piece.data(), piece.size());
    if (n <= 0) {
      bool whole =
          encoded ? n == 0
                  : request.Body.size() == static_cast<std::size_t>(length);
      if (!whole)
        status = base::TimePoint::clock::now() >= deadline ? 408 : 400;
      break;
    }
    request.Body.append(piece.data(), static_cast<std::size_t>(n));
    if (request.Body.size() > Options.MaxBodyBytes)
      status = 413;
  }
  Reads.remove(socket);
  return status;
}

void HttpServer::Impl::callHandler(const HttpRequest &request,
                                   HttpResponder &responder) {
  std::string detail = "the handler sent no response";
  try {
    Handler(request, responder);
  } catch (const std::exception &e) {
    detail = e.what();
    base::logWarning("http.handler_failed",
                     {{"path", request.Path}, {"error", detail}});
  }
  if (responder.isStarted())
    return;
  responder.respond(
      500, ProblemHeaders,
      problemDocument(500, "the request could not be handled", "unknown"),
      base::TimePoint::clock::now() + ErrorWriteTimeout);
}

int HttpServer::Impl::sendError(mg_connection *connection, int status,
                                const char *message) {
  // CivetWeb reports a head beyond max_request_size as 400 with the rest
  // unread, a bad content length as 411, and an incomplete head after the
  // timeout as 400.
  int socket = -1;
  bool late = false;
  {
    std::lock_guard lock(Mutex);
    ConnectionState &it = Connections[connection];
    socket = socketOf(connection, it);
    late = !it.Busy && base::TimePoint::clock::now() - it.WaitingSince >=
                           std::min(Options.RequestTimeout, KeepAliveTimeout);
    bool oversize = status == 413 || (status == 400 && unreadBytes(socket) > 0);
    if (!it.Busy && oversize)
      status = 431;
  }
  if (status == 411 || status == 505)
    status = 400;
  if (status == 400 && late)
    status = 408;
  mg_disable_connection_keep_alive(connection);
  std::string detail = message && *message ? message : "";
  if (detail.empty())
    detail = std::string(reasonPhrase(status));
  std::string body = problemDocument(status, detail, "no");
  std::string all = "HTTP/1.1 " + std::to_string(status) + " " +
                    std::string(reasonPhrase(status)) +
                    "\r\nContent-Type: application/problem+json\r\n" +
                    (status == 503 ? "Retry-After: 1\r\n" : "") +
                    "Content-Length: " + std::to_string(body.size()) +
                    "\r\nConnection: close\r\n\r\n" + body;
  if (waitWritable(socket, base::TimePoint::clock::now() + ErrorWriteTimeout))
    mg_write(connection, all.data(), all.size());
  return 0;
}

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : Server(std::make_unique<Impl>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const { return Server->Port; }

void HttpServer::stop() { Server->stop(); }

} // namespace bergamot::adapterhttp
