#include "adaptertcp/connectionmonitor.h"

#include "adaptertcp/tcpconnection.h"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace bergamot::adaptertcp {

boost::asio::execution_context::id ConnectionMonitor::id;

ConnectionMonitor::ConnectionMonitor(boost::asio::execution_context &loop)
    : service(loop), Timer(std::make_unique<boost::asio::steady_timer>(
                         static_cast<boost::asio::io_context &>(loop))) {}

void ConnectionMonitor::shutdown() {
  Connections.clear();
  Timer.reset();
}

void ConnectionMonitor::add(const std::shared_ptr<TcpConnection> &connection) {
  Connections.push_back(connection);
  scheduleCheck();
}

void ConnectionMonitor::scheduleCheck() {
  if (!Timer || Connections.empty() || std::exchange(CheckScheduled, true))
    return;
  Timer->expires_after(UnreadDataPolicy::CheckPeriod);
  Timer->async_wait([this](const boost::system::error_code &ec) {
    CheckScheduled = false;
    if (ec)
      return;
    checkConnections();
    scheduleCheck();
  });
}

void ConnectionMonitor::checkConnections() {
  const auto now = std::chrono::steady_clock::now();
  std::vector<std::shared_ptr<TcpConnection>> unread;
  std::vector<UnreadData> data;
  // Handlers of connections that are given up may add others.
  for (const auto &it : std::exchange(Connections, {})) {
    auto connection = it.lock();
    if (!connection)
      continue;
    if (const auto found = connection->checkUnreadData(now)) {
      unread.push_back(std::move(connection));
      data.push_back(*found);
    }
  }
  for (const std::size_t i : connectionsToGiveUp(data, MaxUnreadBytes))
    unread[i]->giveUp(GiveUpReason::Memory, data[i].Bytes);
  for (const auto &it : unread)
    if (it->isOpen())
      Connections.push_back(it);
}

} // namespace bergamot::adaptertcp
