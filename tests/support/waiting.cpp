#include "support/waiting.h"

#include "libbergamotbase/error.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>
#include <set>
#include <thread>

namespace bergamot::testsupport {

namespace {

constexpr std::chrono::milliseconds CheckInterval{5};
constexpr int MaxTries = 1000;

std::uint16_t portPickedByKernel() {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof address;
  auto *raw = reinterpret_cast<sockaddr *>(&address);
  bool isBound =
      ::bind(socket, raw, n) == 0 && ::getsockname(socket, raw, &n) == 0;
  ::close(socket);
  if (!isBound)
    throw base::Error(base::Step::Connect, "", "cannot bind to loopback");
  return ntohs(address.sin_port);
}

} // namespace

base::TimePoint in(std::chrono::milliseconds span) {
  return base::TimePoint::clock::now() + span;
}

bool waitFor(const std::function<bool()> &condition, base::TimePoint deadline) {
  while (!condition()) {
    if (base::TimePoint::clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(CheckInterval);
  }
  return true;
}

std::uint16_t freePort() {
  static std::mutex mutex;
  static std::set<std::uint16_t> given;
  std::lock_guard lock(mutex);
  for (int i = 0; i < MaxTries; ++i)
    if (std::uint16_t port = portPickedByKernel(); given.insert(port).second)
      return port;
  throw base::Error(base::Step::Connect, "", "no free port");
}

std::string loopbackEndpoint(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

} // namespace bergamot::testsupport
