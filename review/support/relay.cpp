#include "relay.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

namespace bergamot::review {

Relay::Relay(const std::string &address, Endpoint destination)
    : Destination(std::move(destination)) {
  const int listener = listenOn(address, Listening);
  serveForever(listener, [this](int fd) { serve(fd); });
}

std::size_t Relay::silenceOpenConnections() {
  const std::lock_guard lock(Mutex);
  std::size_t n = 0;
  for (const auto &it : Connections)
    if (!it->Closed && !it->Silent.exchange(true))
      ++n;
  return n;
}

void Relay::serve(int fd) {
  const int peer = connectTo(Destination);
  if (peer < 0) {
    ::close(fd);
    return;
  }
  const auto connection = std::make_shared<Connection>();
  {
    const std::lock_guard lock(Mutex);
    Connections.push_back(connection);
  }
  std::thread back([&] { copy(peer, fd, *connection); });
  copy(fd, peer, *connection);
  back.join();
  connection->Closed = true;
  ::close(fd);
  ::close(peer);
}

/// Copies bytes until the sender ends the connection. Those of a silent
/// connection are dropped.
void Relay::copy(int from, int to, Connection &connection) {
  std::array<char, 65536> buf{};
  for (;;) {
    const ssize_t n = ::recv(from, buf.data(), buf.size(), 0);
    if (n <= 0)
      break;
    if (!connection.Silent &&
        !sendAll(to, std::string(buf.data(), static_cast<std::size_t>(n))))
      break;
  }
  if (!connection.Silent) {
    (void)::shutdown(to, SHUT_WR);
    (void)::shutdown(from, SHUT_RD);
  }
}

} // namespace bergamot::review
