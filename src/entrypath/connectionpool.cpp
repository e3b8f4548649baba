#include "entrypath/connectionpool.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace bergamot::entrypath {

using adaptertcp::ProbeResult;
using base::TimePoint;
using boost::system::error_code;

namespace {

/// Maximum number of idle connections to one target. Each one reduces the
/// number that other entries can open.
constexpr std::size_t MaxIdlePerTarget = 24;

} // namespace

std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  error_code ec;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), ec);
  unsigned short port = 0;
  const char *end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

ConnectionPool::~ConnectionPool() {
  for (auto &[target, idle] : ByTarget)
    for (auto &it : idle)
      it.Tcp->close();
}

ConnectionPool::Connection ConnectionPool::take(const std::string &target,
                                                base::Duration maxIdle,
                                                TimePoint now) {
  const auto it = ByTarget.find(target);
  if (it == ByTarget.end())
    return nullptr;
  auto &idle = it->second;
  while (!idle.empty()) {
    // The most recently used connection is the least likely to have been
    // closed.
    IdleConnection last = std::move(idle.back());
    idle.pop_back();
    if (!last.Tcp->isOpen())
      continue;
    if (last.ExpiresAt > now && last.IdleSince + maxIdle >= now)
      return last.Tcp;
    last.Tcp->close();
  }
  return nullptr;
}

void ConnectionPool::connect(const std::string &address, TimePoint deadline,
                             Completion completion) {
  const auto endpoint = parseEndpoint(address);
  if (!endpoint) {
    completion(nullptr);
    return;
  }
  adaptertcp::openConnection(
      Loop, *endpoint, deadline,
      [completion = std::move(completion)](const Connection &connection,
                                           const error_code &) {
        completion(connection);
      });
}

void ConnectionPool::probe(const std::string &address, TimePoint deadline,
                           std::function<void(ProbeResult)> completion) {
  const auto endpoint = parseEndpoint(address);
  if (!endpoint) {
    completion(ProbeResult::Undecided);
    return;
  }
  adaptertcp::probeServer(Loop, *endpoint, deadline, std::move(completion));
}

void ConnectionPool::put(const std::string &target, Connection connection,
                         TimePoint expiresAt, TimePoint now) {
  auto &idle = ByTarget[target];
  if (idle.size() >= MaxIdlePerTarget || !connection->isOpen()) {
    connection->close();
    return;
  }
  const auto *rawConnection = connection.get();
  connection->setHandlers(
      {[this, target, rawConnection](std::string_view) {
         drop(target, rawConnection);
       },
       [this, target, rawConnection](adaptertcp::CloseReason) {
         drop(target, rawConnection);
       },
       {}});
  idle.push_back({std::move(connection), now, expiresAt});
}

void ConnectionPool::drop(const std::string &target,
                          const adaptertcp::TcpConnection *rawConnection) {
  const auto it = ByTarget.find(target);
  if (it == ByTarget.end())
    return;
  std::erase_if(it->second, [&](const IdleConnection &idle) {
    if (idle.Tcp.get() != rawConnection)
      return false;
    idle.Tcp->close();
    return true;
  });
}

void ConnectionPool::removeStale(
    TimePoint now, const std::function<bool(const std::string &)> &isKnown) {
  for (auto it = ByTarget.begin(); it != ByTarget.end();) {
    const bool known = isKnown(it->first);
    std::erase_if(it->second, [&](const IdleConnection &idle) {
      const bool stale = !known || idle.ExpiresAt <= now;
      if (stale)
        idle.Tcp->close();
      return stale || !idle.Tcp->isOpen();
    });
    it = it->second.empty() ? ByTarget.erase(it) : std::next(it);
  }
}

} // namespace bergamot::entrypath
