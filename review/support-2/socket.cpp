#include "socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <optional>
#include <stdexcept>

namespace review {

namespace {

constexpr int Backlog = 256;
constexpr std::size_t ReadBytes = 65536;
constexpr std::chrono::milliseconds AcceptPollPeriod{100};

sockaddr_in socketAddress(const std::string &address, unsigned short port) {
  sockaddr_in it{};
  it.sin_family = AF_INET;
  it.sin_port = htons(port);
  if (::inet_pton(AF_INET, address.c_str(), &it.sin_addr) != 1)
    throw std::invalid_argument("address " + address);
  return it;
}

bool bindTo(int fd, const std::string &address, unsigned short port) {
  const sockaddr_in it = socketAddress(address, port);
  return ::bind(fd, reinterpret_cast<const sockaddr *>(&it), sizeof it) == 0;
}

unsigned short boundPort(int fd) {
  sockaddr_in it{};
  socklen_t n = sizeof it;
  ::getsockname(fd, reinterpret_cast<sockaddr *>(&it), &n);
  return ntohs(it.sin_port);
}

void setNoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string toLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// Reads until the buffer holds `n` bytes.
bool fill(Socket &socket, std::string &buf, std::size_t n, TimePoint deadline) {
  while (buf.size() < n)
    if (!socket.receive(buf, deadline))
      return false;
  return true;
}

std::optional<std::string> readLine(Socket &socket, std::string &buf,
                                    TimePoint deadline) {
  std::size_t end = buf.find("\r\n");
  while (end == std::string::npos) {
    if (!socket.receive(buf, deadline))
      return std::nullopt;
    end = buf.find("\r\n");
  }
  std::string line = buf.substr(0, end);
  buf.erase(0, end + 2);
  return line;
}

bool readChunks(Socket &socket, std::string &buf, std::string &body,
                TimePoint deadline) {
  constexpr int Hexadecimal = 16;
  while (true) {
    const auto line = readLine(socket, buf, deadline);
    if (!line)
      return false;
    const std::size_t n = std::strtoul(line->c_str(), nullptr, Hexadecimal);
    if (!fill(socket, buf, n + 2, deadline))
      return false;
    body.append(buf, 0, n);
    buf.erase(0, n + 2);
    if (n == 0)
      return true;
  }
}

} // namespace

Socket::~Socket() { ::close(Fd); }

std::unique_ptr<Socket> Socket::connect(const std::string &address,
                                        unsigned short port, int receiveBytes) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return nullptr;
  auto socket = std::make_unique<Socket>(fd);
  if (receiveBytes > 0) {
    // The segment size of Ethernet, as that of loopback exceeds the buffer.
    const int segmentBytes = 1460;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes,
                 sizeof segmentBytes);
  }
  const sockaddr_in it = socketAddress(address, port);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&it), sizeof it) != 0)
    return nullptr;
  setNoDelay(fd);
  return socket;
}

bool Socket::send(const std::string &bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        ::send(Fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

bool Socket::receive(std::string &buf, TimePoint deadline) {
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(deadline - Clock::now(), Clock::duration::zero()));
  pollfd it{Fd, POLLIN, 0};
  if (::poll(&it, 1, static_cast<int>(left.count())) != 1)
    return false;
  std::array<char, ReadBytes> bytes{};
  const ssize_t n = ::recv(Fd, bytes.data(), bytes.size(), 0);
  if (n <= 0)
    return false;
  buf.append(bytes.data(), static_cast<std::size_t>(n));
  return true;
}

void Socket::reset() {
  const linger it{1, 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &it, sizeof it);
}

std::string Message::field(const std::string &name) const {
  const auto it = Fields.find(name);
  return it == Fields.end() ? "" : it->second;
}

int Message::status() const {
  const std::size_t space = StartLine.find(' ');
  if (!StartLine.starts_with("HTTP/") || space == std::string::npos)
    return 0;
  return std::atoi(StartLine.c_str() + space);
}

bool readMessage(Socket &socket, std::string &buf, TimePoint deadline,
                 Message &message) {
  message = {};
  const auto start = readLine(socket, buf, deadline);
  if (!start)
    return false;
  message.StartLine = *start;
  while (true) {
    const auto line = readLine(socket, buf, deadline);
    if (!line)
      return false;
    if (line->empty())
      break;
    const std::size_t colon = line->find(':');
    if (colon == std::string::npos)
      return false;
    const std::size_t value = line->find_first_not_of(' ', colon + 1);
    message.Fields[toLower(line->substr(0, colon))] =
        value == std::string::npos ? "" : line->substr(value);
  }
  if (message.field("transfer-encoding") == "chunked")
    return readChunks(socket, buf, message.Body, deadline);
  const std::size_t n =
      std::strtoul(message.field("content-length").c_str(), nullptr, 10);
  if (!fill(socket, buf, n, deadline))
    return false;
  message.Body = buf.substr(0, n);
  buf.erase(0, n);
  return true;
}

Listener::Listener(const std::string &address, Handler handler)
    : Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      OnConnection(std::move(handler)) {
  if (Fd < 0 || !bindTo(Fd, address, 0) || ::listen(Fd, Backlog) != 0)
    throw std::runtime_error("listen on " + address);
  Port = boundPort(Fd);
  Acceptor = std::thread([this] {
    while (!Stopping) {
      pollfd it{Fd, POLLIN, 0};
      if (::poll(&it, 1, AcceptPollPeriod.count()) != 1)
        continue;
      const int fd = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      setNoDelay(fd);
      // The process ends with its threads, so none has to be joined.
      std::thread([fd, handler = OnConnection] {
        Socket socket(fd);
        handler(socket);
      }).detach();
    }
  });
}

Listener::~Listener() {
  Stopping = true;
  Acceptor.join();
  ::close(Fd);
}

unsigned short freePort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || !bindTo(fd, "0.0.0.0", 0))
    throw std::runtime_error("no free port");
  const unsigned short port = boundPort(fd);
  ::close(fd);
  return port;
}

} // namespace review
