#ifndef BERGAMOT_ADAPTERTCP_SMALLSERVER_H
#define BERGAMOT_ADAPTERTCP_SMALLSERVER_H

#include "adaptertcp/messageparser.h"
#include "adaptertcp/tcpconnection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bergamot::adaptertcp {

/// Serves short requests: readiness, metrics and calls of other daemons. Each
/// connection has one request in progress at a time.
class SmallServer {
public:
  struct Answer {
    int Status = 200;
    std::string ContentType;
    std::string Body;
  };
  /// Sends the answer; called once, then or later.
  using Reply = std::function<void(const Answer &)>;
  using Handler = std::function<void(const RequestHead &head,
                                     const std::string &body, Reply reply)>;

  SmallServer(boost::asio::io_context &loop, Handler handler)
      : Acceptor(loop), OnRequest(std::move(handler)) {}
  /// Closes all connections; replies that come later are dropped.
  ~SmallServer();
  SmallServer(const SmallServer &) = delete;
  SmallServer &operator=(const SmallServer &) = delete;

  /// Starts serving at an address. Throws base::Error if it can't be had.
  void listen(const boost::asio::ip::tcp::endpoint &address);

private:
  void accept();

  boost::asio::ip::tcp::acceptor Acceptor;
  Handler OnRequest;
  std::vector<std::weak_ptr<TcpConnection>> Connections;
};

} // namespace bergamot::adaptertcp

#endif
