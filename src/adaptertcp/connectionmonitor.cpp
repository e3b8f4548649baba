#include "adaptertcp/connectionmonitor.h"

#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bergamot::adaptertcp {

boost::asio::execution_context::id ConnectionMonitor::id;

ConnectionMonitor::ConnectionMonitor(boost::asio::execution_context &loop)
    : service(loop), Loop(static_cast<boost::asio::io_context &>(loop)),
      Timer(std::make_unique<boost::asio::steady_timer>(Loop)) {}

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
  probeSilentServers(now);
}

void ConnectionMonitor::probeSilentServers(base::TimePoint now) {
  for (const auto &it : Connections) {
    const auto connection = it.lock();
    const auto server =
        connection ? connection->serverToProbe(now) : std::nullopt;
    if (server && ProbedServers.insert(*server).second)
      probeServer(Loop, *server, now + ProbeTimeout,
                  [this, server = *server, now](ProbeResult result) {
                    onServerProbed(server, result, now);
                  });
  }
}

void ConnectionMonitor::onServerProbed(const Endpoint &server,
                                       ProbeResult result,
                                       base::TimePoint probedAt) {
  ProbedServers.erase(server);
  const auto now = std::chrono::steady_clock::now();
  base::logInfo("server.probed",
                {{"address", server.address().to_string()},
                 {"port", server.port()},
                 {"result", probeResultName(result)},
                 {"ms", base::wholeMilliseconds(now - probedAt)}});
  // While this process stood still, an answer may not have been seen.
  const bool stoodStill =
      now - probedAt > ProbeTimeout + UnreadDataPolicy::CheckPeriod;
  if (result == ProbeResult::Undecided ||
      (result == ProbeResult::NoAnswer && stoodStill))
    return;
  // Handlers of connections that are given up may add others.
  const auto connections = Connections;
  for (const auto &it : connections) {
    const auto connection = it.lock();
    if (connection && connection->serverToProbe(now) == server)
      connection->onServerProbed(result != ProbeResult::NoAnswer, probedAt,
                                 now);
  }
}

} // namespace bergamot::adaptertcp
