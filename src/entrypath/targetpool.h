#ifndef BERGAMOT_ENTRYPATH_TARGETPOOL_H
#define BERGAMOT_ENTRYPATH_TARGETPOOL_H

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

/// Idle connections to targets, by target id. A connection on which a target
/// sends something unasked or which it closes is dropped at once.
class TargetPool {
public:
  using Connection = std::shared_ptr<adaptertcp::TcpConnection>;
  /// Receives an open connection, or null if none could be had by the
  /// deadline.
  using Completion = std::function<void(Connection)>;

  explicit TargetPool(boost::asio::io_context &loop) : Loop(loop) {}
  /// Closes all idle connections.
  ~TargetPool();
  TargetPool(const TargetPool &) = delete;
  TargetPool &operator=(const TargetPool &) = delete;

  /// Returns an idle connection that has been idle for at most `maxIdle`;
  /// null if there is none.
  Connection take(const std::string &target, base::Duration maxIdle,
                  base::TimePoint now);
  /// Opens a connection.
  void connect(const std::string &address, base::TimePoint deadline,
               Completion completion);
  /// Keeps a connection until `expiresAt`.
  void put(const std::string &target, Connection connection,
           base::TimePoint expiresAt, base::TimePoint now);
  /// Closes the connections that have expired and those to targets that
  /// `isKnown` denies.
  void removeStale(base::TimePoint now,
                   const std::function<bool(const std::string &)> &isKnown);

private:
  struct Idle {
    Connection Held;
    base::TimePoint Since;
    base::TimePoint ExpiresAt;
  };

  void drop(const std::string &target, const adaptertcp::TcpConnection *which);

  boost::asio::io_context &Loop;
  std::map<std::string, std::vector<Idle>> ByTarget;
};

/// Parses an address and port; unset if the text is neither.
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &text);

} // namespace bergamot::entrypath

#endif
