#ifndef BERGAMOT_REVIEW_NET_H
#define BERGAMOT_REVIEW_NET_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace bergamot::review {

using Clock = std::chrono::steady_clock;

/// An IPv4 loopback address and a port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  std::string text() const { return Address + ":" + std::to_string(Port); }
};

/// Listens on a free port of an address. Throws std::runtime_error if that
/// fails.
int listenOn(const std::string &address, Endpoint &endpoint);
/// Returns whether a port of an address can be bound.
bool isPortFree(const std::string &address, std::uint16_t port);
/// Returns a port of an address that is free at the moment.
std::uint16_t freePort(const std::string &address);
/// Options of a client's connection.
struct ConnectOptions {
  /// Size of the receive buffer; 0 leaves the system's default.
  int ReceiveBuffer = 0;
  /// Maximum segment size; 0 leaves that of the loopback interface.
  int SegmentSize = 0;
};
/// Connects to an endpoint; returns -1 if that fails.
int connectTo(const Endpoint &endpoint, const ConnectOptions &options = {});
/// Sends all bytes; returns false if the connection broke.
bool sendAll(int fd, const std::string &bytes);
/// Closes a connection with a reset.
void resetConnection(int fd);

/// An HTTP message. For a request, Start is "METHOD TARGET VERSION"; for a
/// response "VERSION STATUS REASON". Field names are in lower case.
struct HttpMessage {
  std::string Start;
  std::map<std::string, std::string> Fields;
  std::string Body;

  std::string field(const std::string &name) const;
  /// The second word of the start line: the target or the status.
  std::string secondWord() const;
  int status() const;
};

/// Reads the HTTP messages of one connection.
class HttpReader {
public:
  explicit HttpReader(int fd) : Fd(fd) {}

  /// Reads the next message. Returns nothing if the connection ended before
  /// it was complete; received() then tells what came of it.
  std::optional<HttpMessage> read();
  /// Reads one message in pieces of at most `bytes`, with a pause before each.
  void setPace(std::size_t bytes, std::chrono::milliseconds pause) {
    PieceBytes = bytes;
    Pause = pause;
  }
  /// Pauses once before the first bytes are read.
  void setFirstPause(std::chrono::milliseconds pause) { FirstPause = pause; }
  /// Number of bytes of the body of the current message that have come.
  std::size_t bodyBytes() const { return BodyBytes; }
  /// Whether the connection has ended with a reset.
  bool wasReset() const { return Reset; }

private:
  bool fill();
  std::optional<std::string> takeLine();
  bool take(std::size_t n, std::string &out);

  int Fd;
  std::string Buffer;
  std::size_t PieceBytes = 65536;
  std::chrono::milliseconds Pause{0};
  std::chrono::milliseconds FirstPause{0};
  std::size_t BodyBytes = 0;
  bool Reset = false;
};

/// Accepts connections in a thread of its own and runs `handler` in a thread
/// for each. The threads run until the process ends.
void serveForever(int listener, std::function<void(int fd)> handler);

/// Returns a parameter of a request target's query, or an empty string.
std::string queryParameter(const std::string &target, const std::string &name);

} // namespace bergamot::review

#endif
