#ifndef BERGAMOT_REVIEW_SUPPORT2_SOCKET_H
#define BERGAMOT_REVIEW_SUPPORT2_SOCKET_H

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/// A blocking TCP connection. Reads fail at their deadline.
class Socket {
public:
  explicit Socket(int fd) : Fd(fd) {}
  ~Socket();
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  /// Connects to an address on the loopback network. `receiveBytes` is the
  /// size of the receive buffer; 0 for the system's default. Returns null on
  /// failure.
  static std::unique_ptr<Socket> connect(const std::string &address,
                                         unsigned short port,
                                         int receiveBytes = 0);

  bool send(const std::string &bytes);
  /// Appends what has arrived to `buf`. Returns false at the end of the
  /// connection, on an error and at the deadline.
  bool receive(std::string &buf, TimePoint deadline);
  /// Closes the connection with a reset.
  void reset();
  int fd() const { return Fd; }

private:
  int Fd;
};

/// An HTTP message. The names of its fields are in lower case.
struct Message {
  std::string StartLine;
  std::map<std::string, std::string> Fields;
  std::string Body;

  std::string field(const std::string &name) const;
  /// The status of a response; 0 if there is none.
  int status() const;
};

/// Reads one message with a length, in chunks, or without a body. `buf` holds
/// bytes that have been read beyond the message before. Returns false if the
/// connection ends first or at the deadline; `message` then has what came.
bool readMessage(Socket &socket, std::string &buf, TimePoint deadline,
                 Message &message);

/// Accepts connections on a free port and runs a function for each of them on a
/// thread of its own.
class Listener {
public:
  using Handler = std::function<void(Socket &)>;

  Listener(const std::string &address, Handler handler);
  ~Listener();
  unsigned short port() const { return Port; }

private:
  int Fd = -1;
  unsigned short Port = 0;
  Handler OnConnection;
  std::atomic<bool> Stopping = false;
  std::thread Acceptor;
};

/// Returns a port that is free on all loopback addresses.
unsigned short freePort();

} // namespace review

#endif
