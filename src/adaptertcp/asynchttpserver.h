#ifndef BERGAMOT_ADAPTERTCP_ASYNCHTTPSERVER_H
#define BERGAMOT_ADAPTERTCP_ASYNCHTTPSERVER_H

#include "adaptertcp/messageparser.h"
#include "adaptertcp/tcpconnection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bergamot::adaptertcp {

/// Asynchronous HTTP server for short requests: readiness checks, metrics and
/// calls from other daemons. Each connection processes one request at a time.
class AsyncHttpServer {
public:
  struct Response {
    int Status = 200;
    std::string ContentType;
    std::string Body;
  };
  /// Sends the response; called once, from within the handler or later.
  using ResponseCallback = std::function<void(const Response &)>;
  using Handler =
      std::function<void(const RequestHead &head, const std::string &body,
                         ResponseCallback respond)>;

  AsyncHttpServer(boost::asio::io_context &loop, Handler handler)
      : Acceptor(loop), OnRequest(std::move(handler)) {}
  /// Closes all connections; responses produced later are discarded.
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer &) = delete;
  AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

  /// Starts serving on an address. Throws base::Error if the server can't bind
  /// to it or listen on it.
  void listen(const boost::asio::ip::tcp::endpoint &address);

private:
  void accept();

  boost::asio::ip::tcp::acceptor Acceptor;
  Handler OnRequest;
  std::vector<std::weak_ptr<TcpConnection>> Connections;
};

} // namespace bergamot::adaptertcp

#endif
