#ifndef BERGAMOT_ENTRYPATH_CONNECTIONPOOL_H
#define BERGAMOT_ENTRYPATH_CONNECTIONPOOL_H

#include "adaptertcp/connectionopener.h"
#include "adaptertcp/tcpconnection.h"
#include "libbergamotbase/timetypes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::entrypath {

/// Idle connections to targets, by target id. A connection is closed at once if
/// the target closes it or sends unsolicited bytes.
class ConnectionPool {
public:
  using Connection = std::shared_ptr<adaptertcp::TcpConnection>;
  /// Receives an open connection, or null if none could be opened by the
  /// deadline.
  using Completion = std::function<void(Connection)>;

  explicit ConnectionPool(boost::asio::io_context &loop) : Loop(loop) {}
  /// Closes all idle connections.
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool &) = delete;
  ConnectionPool &operator=(const ConnectionPool &) = delete;

  /// Returns a connection that has been idle for at most `maxIdle`; null if
  /// there is none.
  Connection take(const std::string &target, base::Duration maxIdle,
                  base::TimePoint now);
  /// Opens a new connection to a target.
  void connect(const std::string &address, base::TimePoint deadline,
               Completion completion);
  /// Tests whether a target's address accepts connections, and closes the one
  /// that this opens.
  void probe(const std::string &address, base::TimePoint deadline,
             std::function<void(adaptertcp::ProbeResult)> completion);
  /// Adds an idle connection to the pool, which closes it at `expiresAt` if it
  /// hasn't been reused.
  void put(const std::string &target, Connection connection,
           base::TimePoint expiresAt, base::TimePoint now);
  /// Closes the connections that have expired and those to targets for which
  /// `isKnown` returns false.
  void removeStale(base::TimePoint now,
                   const std::function<bool(const std::string &)> &isKnown);

private:
  struct IdleConnection {
    Connection Tcp;
    base::TimePoint IdleSince;
    base::TimePoint ExpiresAt;
  };

  void drop(const std::string &target,
            const adaptertcp::TcpConnection *rawConnection);

  boost::asio::io_context &Loop;
  std::map<std::string, std::vector<IdleConnection>> ByTarget;
};

/// Parses "address:port". Returns nullopt if the text doesn't have this form.
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &text);

} // namespace bergamot::entrypath

#endif
