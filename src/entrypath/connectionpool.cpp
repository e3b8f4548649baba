#include "entrypath/connectionpool.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace bergamot::entrypath {

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
  open(address, deadline,
       [completion = std::move(completion)](const Connection &connection,
                                            const error_code &) {
         completion(connection);
       });
}

void ConnectionPool::probe(const std::string &address, TimePoint deadline,
                           std::function<void(ProbeResult)> completion) {
  open(address, deadline,
       [completion = std::move(completion)](const Connection &connection,
                                            const error_code &ec) {
         if (connection)
           connection->close();
         completion(connection ? ProbeResult::Accepted
                    : ec == boost::asio::error::connection_refused
                        ? ProbeResult::Refused
                        : ProbeResult::NoAnswer);
       });
}

/// Opens a connection. The completion gets null and the error if that fails.
void ConnectionPool::open(const std::string &address, TimePoint deadline,
                          OpenCompletion completion) {
  const auto endpoint = parseEndpoint(address);
  if (!endpoint) {
    completion(nullptr, boost::asio::error::invalid_argument);
    return;
  }
  auto connection = std::make_shared<adaptertcp::TcpConnection>(
      adaptertcp::TcpConnection::Socket(Loop));
  auto timer = std::make_shared<boost::asio::steady_timer>(Loop, deadline);
  auto done = std::make_shared<OpenCompletion>(std::move(completion));
  timer->async_wait([connection, done](const error_code &ec) {
    if (ec || !*done)
      return;
    const OpenCompletion callback = std::move(*done);
    *done = nullptr;
    connection->close();
    callback(nullptr, boost::asio::error::timed_out);
  });
  connection->socket().async_connect(
      *endpoint, [connection, timer, done](const error_code &ec) {
        if (!*done)
          return;
        const OpenCompletion callback = std::move(*done);
        *done = nullptr;
        timer->cancel();
        callback(ec ? nullptr : connection, ec);
      });
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
