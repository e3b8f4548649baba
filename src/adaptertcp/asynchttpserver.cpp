#include "adaptertcp/asynchttpserver.h"

#include "libbergamotbase/error.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

namespace bergamot::adaptertcp {

namespace {

/// Requests to these servers are short; a larger one is a fault of the peer.
constexpr std::size_t MaxRequestBytes = 262144;

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
         {}});
  }

private:
  void onData(std::string_view bytes) {
    Input.append(bytes);
    if (Input.size() > MaxRequestBytes)
      Connection->close();
    else if (!Busy)
      parse();
  }

  void parse() {
    if (Input.empty() || !Connection->isOpen())
      return;
    Input.erase(0, Parser.push(Input));
    if (Parser.hasFailed() || Parser.body().size() > MaxRequestBytes) {
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
    Connection->send(text.append(response.Body));
    if (!keepAlive) {
      Connection->closeAfterSending();
      return;
    }
    Parser.restart();
    Busy = false;
    parse();
  }

  std::shared_ptr<TcpConnection> Connection;
  MessageParser Parser{MessageParser::Kind::Request};
  AsyncHttpServer::Handler OnRequest;
  std::string Input;
  bool Busy = false;
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
