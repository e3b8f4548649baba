#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace bergamot::review {

namespace {

sockaddr_in socketAddress(const std::string &address, std::uint16_t port) {
  sockaddr_in it{};
  it.sin_family = AF_INET;
  it.sin_port = htons(port);
  (void)inet_pton(AF_INET, address.c_str(), &it.sin_addr);
  return it;
}

int bindTo(const std::string &address, std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  (void)::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in it = socketAddress(address, port);
  if (::bind(fd, reinterpret_cast<const sockaddr *>(&it), sizeof it) == 0)
    return fd;
  ::close(fd);
  return -1;
}

std::uint16_t boundPort(int fd) {
  sockaddr_in it{};
  socklen_t n = sizeof it;
  (void)::getsockname(fd, reinterpret_cast<sockaddr *>(&it), &n);
  return ntohs(it.sin_port);
}

std::string toLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
  });
  return text;
}

} // namespace

int listenOn(const std::string &address, Endpoint &endpoint) {
  constexpr int Backlog = 256;
  const int fd = bindTo(address, 0);
  if (fd < 0 || ::listen(fd, Backlog) != 0)
    throw std::runtime_error("cannot listen on " + address);
  endpoint = {address, boundPort(fd)};
  return fd;
}

bool isPortFree(const std::string &address, std::uint16_t port) {
  const int fd = bindTo(address, port);
  if (fd < 0)
    return false;
  ::close(fd);
  return true;
}

std::uint16_t freePort(const std::string &address) {
  const int fd = bindTo(address, 0);
  if (fd < 0)
    throw std::runtime_error("no free port on " + address);
  const std::uint16_t port = boundPort(fd);
  ::close(fd);
  return port;
}

int connectTo(const Endpoint &endpoint, const ConnectOptions &options) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  (void)::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (options.ReceiveBuffer > 0)
    (void)::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.ReceiveBuffer,
                       sizeof options.ReceiveBuffer);
  if (options.SegmentSize > 0)
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.SegmentSize,
                       sizeof options.SegmentSize);
  const sockaddr_in it = socketAddress(endpoint.Address, endpoint.Port);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&it), sizeof it) == 0)
    return fd;
  ::close(fd);
  return -1;
}

bool sendAll(int fd, const std::string &bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

void resetConnection(int fd) {
  const linger it{1, 0};
  (void)::setsockopt(fd, SOL_SOCKET, SO_LINGER, &it, sizeof it);
  ::close(fd);
}

std::string HttpMessage::field(const std::string &name) const {
  const auto it = Fields.find(name);
  return it == Fields.end() ? std::string() : it->second;
}

std::string HttpMessage::secondWord() const {
  const std::size_t from = Start.find(' ');
  if (from == std::string::npos)
    return {};
  return Start.substr(from + 1, Start.find(' ', from + 1) - from - 1);
}

int HttpMessage::status() const { return std::atoi(secondWord().c_str()); }

bool HttpReader::fill() {
  std::this_thread::sleep_for(Pause + std::exchange(FirstPause, {}));
  std::vector<char> piece(PieceBytes);
  const ssize_t n = ::recv(Fd, piece.data(), piece.size(), 0);
  if (n < 0)
    Reset = errno == ECONNRESET;
  if (n <= 0)
    return false;
  Buffer.append(piece.data(), static_cast<std::size_t>(n));
  return true;
}

std::optional<std::string> HttpReader::takeLine() {
  std::size_t end = Buffer.find("\r\n");
  while (end == std::string::npos) {
    if (!fill())
      return std::nullopt;
    end = Buffer.find("\r\n");
  }
  std::string line = Buffer.substr(0, end);
  Buffer.erase(0, end + 2);
  return line;
}

bool HttpReader::take(std::size_t n, std::string &out) {
  while (n > 0) {
    if (Buffer.empty() && !fill())
      return false;
    const std::size_t part = std::min(n, Buffer.size());
    out.append(Buffer, 0, part);
    Buffer.erase(0, part);
    BodyBytes += part;
    n -= part;
  }
  return true;
}

std::optional<HttpMessage> HttpReader::read() {
  HttpMessage message;
  BodyBytes = 0;
  const auto start = takeLine();
  if (!start)
    return std::nullopt;
  message.Start = *start;
  for (;;) {
    const auto line = takeLine();
    if (!line)
      return std::nullopt;
    if (line->empty())
      break;
    const std::size_t colon = line->find(':');
    if (colon == std::string::npos)
      return std::nullopt;
    const std::size_t value = line->find_first_not_of(' ', colon + 1);
    message.Fields[toLower(line->substr(0, colon))] =
        value == std::string::npos ? "" : line->substr(value);
  }
  if (message.field("transfer-encoding") != "chunked") {
    const std::string length = message.field("content-length");
    if (!take(length.empty() ? 0 : std::stoul(length), message.Body))
      return std::nullopt;
    return message;
  }
  for (;;) {
    constexpr int Hexadecimal = 16;
    const auto size = takeLine();
    if (!size)
      return std::nullopt;
    const std::size_t n = std::stoul(*size, nullptr, Hexadecimal);
    if (!take(n, message.Body) || !takeLine())
      return std::nullopt;
    if (n == 0)
      return message;
  }
}

void serveForever(int listener, std::function<void(int fd)> handler) {
  std::thread([listener, handler = std::move(handler)] {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int on = 1;
      (void)::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([handler, fd] { handler(fd); }).detach();
    }
  }).detach();
}

std::string queryParameter(const std::string &target, const std::string &name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string part = target.substr(
        at + 1, next == std::string::npos ? std::string::npos : next - at - 1);
    if (part.compare(0, name.size() + 1, name + "=") == 0)
      return part.substr(name.size() + 1);
    at = next;
  }
  return {};
}

} // namespace bergamot::review
