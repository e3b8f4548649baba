#ifndef BERGAMOT_ADAPTERTCP_CONNECTIONMONITOR_H
#define BERGAMOT_ADAPTERTCP_CONNECTIONMONITOR_H

#include "adaptertcp/connectionopener.h"
#include "libbergamotbase/timetypes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <set>
#include <vector>

namespace bergamot::adaptertcp {

/// Checks all connections of an event loop that have unread data, probes the
/// servers among their peers that are silent, and gives up those connections
/// whose UnreadDataPolicy says so. A connection without unread data costs
/// nothing. All functions must be called on the loop's thread.
class ConnectionMonitor : public boost::asio::execution_context::service {
public:
  using key_type = ConnectionMonitor;
  static boost::asio::execution_context::id id;

  /// Bound on the unread data of all connections, in the kernel's send queues
  /// and in this process. Above it, connections are given up whose peers
  /// haven't been seen to read for UnansweredTimeout, even if their deadlines
  /// are later.
  static constexpr std::size_t MaxUnreadBytes = 32UL * 1024 * 1024;

  /// Called by the loop, which must be an io_context.
  explicit ConnectionMonitor(boost::asio::execution_context &loop);

  /// Checks a connection until its peer has acknowledged all data.
  void add(const std::shared_ptr<TcpConnection> &connection);

private:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  void shutdown() override;
  void scheduleCheck();
  void checkConnections();
  void probeSilentServers(base::TimePoint now);
  void onServerProbed(const Endpoint &server, ProbeResult result,
                      base::TimePoint probedAt);

  boost::asio::io_context &Loop;
  std::unique_ptr<boost::asio::steady_timer> Timer;
  std::vector<std::weak_ptr<TcpConnection>> Connections;
  /// Servers with a probe in progress.
  std::set<Endpoint> ProbedServers;
  bool CheckScheduled = false;
};

} // namespace bergamot::adaptertcp

#endif
