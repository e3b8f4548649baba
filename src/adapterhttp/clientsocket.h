#ifndef BERGAMOT_ADAPTERHTTP_CLIENTSOCKET_H
#define BERGAMOT_ADAPTERHTTP_CLIENTSOCKET_H

#include "adapterhttp/endpoint.h"
#include "libbergamotbase/error.h"
#include "libbergamotbase/timetypes.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>

namespace bergamot::adapterhttp {

/// A TCP connection of the client whose operations take deadlines. CivetWeb's
/// client reads until a buffer is full, has a fixed time-out of 10 s to
/// connect and can't be cancelled, so that it fits neither streams nor
/// deadlines.
class ClientSocket {
public:
  /// Connects. Throws HttpClientError on failure or at the deadline.
  ClientSocket(const Endpoint &endpoint, std::string peer,
               base::TimePoint deadline);
  ClientSocket(const ClientSocket &) = delete;
  ClientSocket &operator=(const ClientSocket &) = delete;

  /// Sends all bytes. Throws HttpClientError on failure or at the deadline.
  void send(std::string_view bytes, base::TimePoint deadline);

  /// Receives into the buffer as much as there is, waiting for the first
  /// byte. Returns 0 at the end of the stream. Throws HttpClientError on
  /// failure or at the deadline.
  std::size_t receive(char *buffer, std::size_t size, base::TimePoint deadline);

  /// Ends all operations, present and future. May be called by any thread.
  void cancel();

  /// Returns whether cancel() was called.
  bool isCancelled() const;

  /// Returns whether the connection is open and has no unread byte.
  bool isQuiet() const;

private:
  bool wait(short events, base::TimePoint deadline) const;
  [[noreturn]] void fail(base::Step step, const std::string &message,
                         bool sent) const;

  std::string Peer;
  boost::asio::ip::tcp::socket Socket;
  mutable std::mutex Mutex;
  bool Cancelled = false;
};

} // namespace bergamot::adapterhttp

#endif
