#include "support/tcprelay.h"

#include "libbergamotbase/error.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <vector>

namespace bergamot::testsupport {

namespace {

constexpr std::size_t MaxQueuedBytes = 1024 * 1024;
constexpr int Backlog = 128;
constexpr int IdleMilliseconds = 1000;

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

void prepare(int socket) {
  int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
}

bool wouldBlock(ssize_t n) {
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

void wakeUp(int wake) {
  std::uint64_t one = 1;
  [[maybe_unused]] ssize_t n = write(wake, &one, sizeof one);
}

} // namespace

TcpRelay::TcpRelay(std::uint16_t targetPort) : TargetPort(targetPort) {
  Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  sockaddr_in address = loopback(0);
  auto *raw = reinterpret_cast<sockaddr *>(&address);
  socklen_t n = sizeof address;
  if (bind(Listener, raw, n) != 0 || listen(Listener, Backlog) != 0 ||
      getsockname(Listener, raw, &n) != 0)
    throw base::Error(base::Step::Connect, "", "the relay can't listen");
  Port = ntohs(address.sin_port);
  Thread = std::thread([this] { run(); });
}

TcpRelay::~TcpRelay() {
  {
    std::lock_guard lock(Mutex);
    IsStopping = true;
  }
  wakeUp(Wake);
  Thread.join();
  for (const Link &it : Links)
    closeLink(it);
  close(Listener);
  close(Wake);
}

void TcpRelay::setDelay(std::chrono::milliseconds delay) {
  std::lock_guard lock(Mutex);
  Delay = delay;
}

void TcpRelay::cutConnections() {
  std::lock_guard lock(Mutex);
  for (Link &it : Links)
    it.IsBroken = true;
  wakeUp(Wake);
}

void TcpRelay::setRefusing(bool isRefusing) {
  std::lock_guard lock(Mutex);
  IsRefusing = isRefusing;
}

void TcpRelay::silenceConnections() {
  std::lock_guard lock(Mutex);
  for (Link &it : Links)
    it.IsSilent = true;
  wakeUp(Wake);
}

void TcpRelay::setSilent(bool isSilent) {
  std::lock_guard lock(Mutex);
  IsSilent = isSilent;
}

void TcpRelay::run() {
  for (;;) {
    int timeout = 0;
    {
      std::lock_guard lock(Mutex);
      timeout = waitTime();
    }
    wait(timeout);
    std::lock_guard lock(Mutex);
    if (IsStopping)
      return;
    for (auto it = Links.begin(); it != Links.end();) {
      for (Direction *direction : {&it->Forth, &it->Back}) {
        if (it->IsSilent || it->IsBroken)
          continue;
        receive(*direction, *it);
        deliver(*direction, *it);
      }
      if (it->IsBroken || (it->Forth.HasPassedEnd && it->Back.HasPassedEnd)) {
        closeLink(*it);
        it = Links.erase(it);
      } else {
        ++it;
      }
    }
  }
}

int TcpRelay::waitTime() const {
  auto now = base::TimePoint::clock::now();
  auto due = now + std::chrono::milliseconds(IdleMilliseconds);
  for (const Link &it : Links)
    for (const Direction *direction : {&it.Forth, &it.Back})
      if (!it.IsSilent && !direction->Queue.empty())
        due = std::min(due, std::max(direction->Queue.front().Due, now));
  return static_cast<int>(
      std::chrono::ceil<std::chrono::milliseconds>(due - now).count());
}

void TcpRelay::wait(int timeout) {
  std::vector<pollfd> entries = {{Listener, POLLIN, 0}, {Wake, POLLIN, 0}};
  {
    std::lock_guard lock(Mutex);
    auto now = base::TimePoint::clock::now();
    for (const Link &it : Links)
      for (const Direction *direction : {&it.Forth, &it.Back}) {
        if (it.IsSilent)
          continue;
        if (!direction->HasEnded && direction->QueuedBytes < MaxQueuedBytes)
          entries.push_back({direction->From, POLLIN, 0});
        bool isDue =
            !direction->Queue.empty() && direction->Queue.front().Due <= now;
        if (isDue)
          entries.push_back({direction->To, POLLOUT, 0});
        // Bytes that are due wait for the receiver, not for the clock.
        if (isDue && timeout == 0)
          timeout = IdleMilliseconds;
      }
  }
  poll(entries.data(), entries.size(), timeout);
  std::uint64_t count = 0;
  [[maybe_unused]] ssize_t n = read(Wake, &count, sizeof count);
  if (entries[0].revents != 0)
    accept();
}

void TcpRelay::accept() {
  int client = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (client < 0)
    return;
  ++Accepted;
  int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(TargetPort);
  std::lock_guard lock(Mutex);
  if (IsRefusing || connect(target, reinterpret_cast<sockaddr *>(&address),
                            sizeof address) != 0) {
    close(client);
    close(target);
    return;
  }
  prepare(client);
  prepare(target);
  Link link;
  link.Forth.From = link.Back.To = client;
  link.Forth.To = link.Back.From = target;
  link.IsSilent = IsSilent;
  Links.push_back(std::move(link));
}

void TcpRelay::receive(Direction &direction, Link &link) {
  std::array<char, 16384> buf{};
  while (!direction.HasEnded && direction.QueuedBytes < MaxQueuedBytes) {
    ssize_t n = recv(direction.From, buf.data(), buf.size(), 0);
    if (wouldBlock(n))
      return;
    if (n < 0) {
      link.IsBroken = true;
      return;
    }
    direction.HasEnded = n == 0;
    // An empty entry stands for the end, which is delayed like the bytes.
    direction.Queue.push_back(
        {base::TimePoint::clock::now() + Delay,
         std::string(buf.data(), static_cast<std::size_t>(n))});
    direction.QueuedBytes += static_cast<std::size_t>(n);
  }
}

void TcpRelay::deliver(Direction &direction, Link &link) {
  auto now = base::TimePoint::clock::now();
  while (!direction.Queue.empty() && direction.Queue.front().Due <= now) {
    std::string &bytes = direction.Queue.front().Bytes;
    if (bytes.empty()) {
      shutdown(direction.To, SHUT_WR);
      direction.HasPassedEnd = true;
      direction.Queue.pop_front();
      continue;
    }
    ssize_t n = send(direction.To, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (wouldBlock(n))
      return;
    if (n < 0) {
      link.IsBroken = true;
      return;
    }
    direction.QueuedBytes -= static_cast<std::size_t>(n);
    bytes.erase(0, static_cast<std::size_t>(n));
    if (bytes.empty())
      direction.Queue.pop_front();
  }
}

void TcpRelay::closeLink(const Link &link) {
  close(link.Forth.From);
  close(link.Forth.To);
}

} // namespace bergamot::testsupport
