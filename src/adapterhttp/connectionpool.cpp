#include "adapterhttp/connectionpool.h"

#include <utility>

namespace bergamot::adapterhttp {

namespace {

constexpr std::size_t MaxIdleConnections = 64;

/// Shorter than the server's keep-alive time, so that a request is hardly
/// ever sent on a connection that the server is closing. Such a request would
/// count as possibly executed.
constexpr std::chrono::seconds MaxIdleTime{2};

} // namespace

ConnectionPool::ConnectionPool(const std::string &endpoint)
    : Peer(endpoint), Address(parseEndpoint(endpoint)) {}

std::unique_ptr<ClientSocket> ConnectionPool::take(base::TimePoint deadline) {
  auto oldest = base::TimePoint::clock::now() - MaxIdleTime;
  for (;;) {
    std::unique_ptr<ClientSocket> taken;
    {
      std::lock_guard lock(Mutex);
      if (Idle.empty())
        break;
      // The connection idle for the shortest time is the last one. If it is
      // too old, so are all others.
      if (Idle.back().Since < oldest) {
        Idle.clear();
        break;
      }
      taken = std::move(Idle.back().Connection);
      Idle.pop_back();
    }
    if (taken->isQuiet())
      return taken;
  }
  return std::make_unique<ClientSocket>(Address, Peer, deadline);
}

void ConnectionPool::add(std::unique_ptr<ClientSocket> connection) {
  std::lock_guard lock(Mutex);
  if (Idle.size() < MaxIdleConnections && !connection->isCancelled())
    Idle.push_back({std::move(connection), base::TimePoint::clock::now()});
}

} // namespace bergamot::adapterhttp
