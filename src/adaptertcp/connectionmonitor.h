#ifndef BERGAMOT_ADAPTERTCP_CONNECTIONMONITOR_H
#define BERGAMOT_ADAPTERTCP_CONNECTIONMONITOR_H

#include <boost/asio/execution_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace bergamot::adaptertcp {

class TcpConnection;

/// Checks all connections of an event loop that have unread data, and gives up
/// those whose UnreadDataPolicy says so. A connection without unread data costs
/// nothing. All functions must be called on the loop's thread.
class ConnectionMonitor : public boost::asio::execution_context::service {
public:
  using key_type = ConnectionMonitor;
  static boost::asio::execution_context::id id;

  /// Bound on the unread data of all connections, in the kernel's send queues
  /// and in this process. Above it, connections are given up whose peers have
  /// read nothing for UnansweredTimeout, even if their deadlines are later.
  static constexpr std::size_t MaxUnreadBytes = 32UL * 1024 * 1024;

  /// Called by the loop, which must be an io_context.
  explicit ConnectionMonitor(boost::asio::execution_context &loop);

  /// Checks a connection until its peer has acknowledged all data.
  void add(const std::shared_ptr<TcpConnection> &connection);

private:
  void shutdown() override;
  void scheduleCheck();
  void checkConnections();

  std::unique_ptr<boost::asio::steady_timer> Timer;
  std::vector<std::weak_ptr<TcpConnection>> Connections;
  bool CheckScheduled = false;
};

} // namespace bergamot::adaptertcp

#endif
