#include "adaptertcp/asynchttpserver.h"

#include "libbergamotbase/error.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

namespace bergamot::adaptertcp {

namespace {

/// Requests to these servers are short; a larger one is a fault of the peer.
constexpr std::size_t MaxRequestBytes = 262144;
/// While more bytes than this wait for the peer to read, its further requests
/// aren't processed.
constexpr std::size_t MaxUnsentBytes = 65536;

/// One connection of an AsyncHttpServer.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(TcpConnection::Socket socket,
                   const AsyncHttpServer::Handler &handler)
      : Connection(std::make_shared<TcpConnection>(std::move(socket))),
        OnRequest(handler) {}

  const std::shared_ptr<TcpConnection> &connection() const {
    return Connection;
  }

  void start() {
    Connection->start(
        {[self = shared_from_this()](std::string_view it) { self->onData(it); },
         {},
         [self = shared_from_this()] { self->parse(); }});
  }

private:
  void onData(std::string_view bytes) {
    Input.append(bytes);
    parse();
  }

  /// Whether the next request has to wait: for the response to the previous
  /// one, or for the peer to read.
  bool isBlocked() const {
    return Busy || Connection->unsentBytes() > MaxUnsentBytes;
  }

  /// Processes the requests received so far. Not reentrant, as each may be
  /// responded to within the call and there may be many.
  void parse() {
    if (Parsing)
      return;
    const auto self = shared_from_this();
    Parsing = true;
    while (!Input.empty() && !isBlocked() && Connection->isOpen())
      parseRequest();
    Parsing = false;
    // The rest remains in the kernel's receive buffer.
    if (!Closing)
      Connection->setReading(Input.empty() || !isBlocked());
  }

  void parseRequest() {
    const std::size_t n = Parser.push(Input);
    Input.erase(0, n);
    RequestBytes += n;
    const bool stuck = n == 0 && !Parser.isComplete();
    if (Parser.hasFailed() || stuck || RequestBytes > MaxRequestBytes) {
      Connection->close();
      return;
    }
    if (!Parser.isComplete())
      return;
    Busy = true;
    OnRequest(
        Parser.requestHead(), Parser.body(),
        [self = shared_from_this()](const AsyncHttpServer::Response &response) {
          self->respond(response);
        });
  }

  void respond(const AsyncHttpServer::Response &response) {
    if (!Connection->isOpen())
      return;
    ResponseHead head;
    head.Status = response.Status;
    if (!response.ContentType.empty())
      head.Headers.add("Content-Type", response.ContentType);
    const bool keepAlive = Parser.requestHead().KeepAlive;
    std::string text =
        responseText(head, Framing::Length, response.Body.size(), keepAlive);
    // The server isn't told the deadlines of calls. They are all earlier than
    // that of data without one.
    Connection->setReadDeadline(base::TimePoint());
    Connection->send(text.append(response.Body));
    if (!keepAlive) {
      Closing = true;
      Connection->closeAfterSending();
      return;
    }
    Parser.restart();
    RequestBytes = 0;
    Busy = false;
    parse();
  }

  std::shared_ptr<TcpConnection> Connection;
  MessageParser Parser{MessageParser::Kind::Request};
  AsyncHttpServer::Handler OnRequest;
  std::string Input;
  /// Bytes received of the current request.
  std::size_t RequestBytes = 0;
  /// A request is being processed; its response hasn't been sent.
  bool Busy = false;
  bool Parsing = false;
  /// The last response has been sent.
  bool Closing = false;
};

} // namespace

AsyncHttpServer::~AsyncHttpServer() {
  for (const auto &it : Connections)
    if (const auto connection = it.lock())
      connection->close();
}

void AsyncHttpServer::listen(const boost::asio::ip::tcp::endpoint &address) {
  try {
    Acceptor.open(address.protocol());
    Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    Acceptor.bind(address);
    Acceptor.listen();
  } catch (const std::exception &e) {
    throw base::Error(base::Step::Settings, address.address().to_string(),
                      e.what());
  }
  accept();
}

void AsyncHttpServer::accept() {
  Acceptor.async_accept([this](const boost::system::error_code &ec,
                               boost::asio::ip::tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted)
      return;
    if (!ec) {
      const auto connection =
          std::make_shared<ServerConnection>(std::move(socket), OnRequest);
      std::erase_if(Connections, [](const auto &it) { return it.expired(); });
      Connections.push_back(connection->connection());
      connection->start();
    } else {
      base::logWarning("accept.failed", {{"error", ec.message()}});
    }
    accept();
  });
}

} // namespace bergamot::adaptertcp
