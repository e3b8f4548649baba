#include "adapterhttp/serversocket.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <string>

namespace bergamot::adapterhttp {

namespace {

struct Address {
  std::string Ip;
  int Port = -1;
};

Address toAddress(const sockaddr_storage &storage) {
  char text[INET6_ADDRSTRLEN] = {};
  if (storage.ss_family == AF_INET) {
    sockaddr_in in{};
    std::memcpy(&in, &storage, sizeof in);
    inet_ntop(AF_INET, &in.sin_addr, text, sizeof text);
    return {text, ntohs(in.sin_port)};
  }
  if (storage.ss_family == AF_INET6) {
    sockaddr_in6 in{};
    std::memcpy(&in, &storage, sizeof in);
    inet_ntop(AF_INET6, &in.sin6_addr, text, sizeof text);
    return {text, ntohs(in.sin6_port)};
  }
  return {};
}

int localPort(int socket) {
  sockaddr_storage storage{};
  socklen_t n = sizeof storage;
  if (getsockname(socket, reinterpret_cast<sockaddr *>(&storage), &n) != 0)
    return -1;
  return toAddress(storage).Port;
}

bool isSocketOf(int socket, const mg_request_info &info) {
  sockaddr_storage storage{};
  socklen_t n = sizeof storage;
  if (getpeername(socket, reinterpret_cast<sockaddr *>(&storage), &n) != 0)
    return false;
  Address peer = toAddress(storage);
  if (peer.Port != info.remote_port || peer.Ip != info.remote_addr)
    return false;
  return localPort(socket) == info.server_port;
}

/// Returns the lowest descriptor of the process for which the predicate
/// holds, or -1.
template <typename Predicate> int findDescriptor(Predicate predicate) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  for (int it = 0; static_cast<rlim_t>(it) < limit.rlim_cur; ++it)
    if (predicate(it))
      return it;
  return -1;
}

int remainingMilliseconds(base::TimePoint deadline) {
  auto left = std::chrono::ceil<std::chrono::milliseconds>(
      deadline - base::TimePoint::clock::now());
  return left.count() <= 0 ? 0 : static_cast<int>(left.count());
}

} // namespace

int findConnectionSocket(const mg_connection *connection) {
  const mg_request_info *info = mg_get_request_info(connection);
  if (!info)
    return -1;
  return findDescriptor([&](int it) { return isSocketOf(it, *info); });
}

int findListeningSocket(int port) {
  return findDescriptor([&](int it) {
    int listening = 0;
    socklen_t n = sizeof listening;
    return getsockopt(it, SOL_SOCKET, SO_ACCEPTCONN, &listening, &n) == 0 &&
           listening != 0 && localPort(it) == port;
  });
}

std::size_t unreadBytes(int socket) {
  int n = 0;
  return ioctl(socket, FIONREAD, &n) == 0 && n > 0 ? static_cast<std::size_t>(n)
                                                   : 0;
}

bool isPeerGone(int socket) {
  pollfd entry{socket, POLLRDHUP, 0};
  if (poll(&entry, 1, 0) <= 0)
    return false;
  return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

bool waitWritable(int socket, base::TimePoint deadline) {
  for (;;) {
    pollfd entry{socket, POLLOUT, 0};
    int n = poll(&entry, 1, remainingMilliseconds(deadline));
    if (n > 0)
      return (entry.revents & (POLLHUP | POLLERR | POLLNVAL)) == 0;
    if (n == 0 || errno != EINTR)
      return false;
  }
}

ReadDeadlines::ReadDeadlines() : Thread([this] { run(); }) {}

ReadDeadlines::~ReadDeadlines() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Thread.join();
}

void ReadDeadlines::set(int socket, base::TimePoint deadline) {
  std::lock_guard lock(Mutex);
  Deadlines[socket] = deadline;
  if (Deadlines.size() == 1)
    Changed.notify_all();
}

void ReadDeadlines::remove(int socket) {
  std::lock_guard lock(Mutex);
  Deadlines.erase(socket);
}

void ReadDeadlines::run() {
  // Deadlines are request timeouts of seconds; a coarse check keeps the cost
  // of set() low.
  constexpr std::chrono::milliseconds CheckInterval{20};
  std::unique_lock lock(Mutex);
  while (!Stopping) {
    if (Deadlines.empty()) {
      Changed.wait(lock);
      continue;
    }
    Changed.wait_for(lock, CheckInterval);
    auto now = base::TimePoint::clock::now();
    for (auto it = Deadlines.begin(); it != Deadlines.end();) {
      if (it->second > now) {
        ++it;
        continue;
      }
      shutdown(it->first, SHUT_RD);
      it = Deadlines.erase(it);
    }
  }
}

} // namespace bergamot::adapterhttp
