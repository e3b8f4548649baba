#include "adapterhttp/clientsocket.h"

#include "adapterhttp/httpclienterror.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace bergamot::adapterhttp {

namespace asio = boost::asio;

namespace {

/// Returns the context that the sockets belong to. It is never run, as all
/// waiting is done by poll(); one per socket would cost three descriptors.
asio::io_context &socketContext() {
  static asio::io_context context{1};
  return context;
}

} // namespace

ClientSocket::ClientSocket(const Endpoint &endpoint, std::string peer,
                           base::TimePoint deadline)
    : Peer(std::move(peer)), Socket(socketContext()) {
  boost::system::error_code ec;
  asio::ip::tcp::endpoint address(asio::ip::make_address(endpoint.Ip),
                                  endpoint.Port);
  Socket.open(address.protocol(), ec);
  if (!ec)
    Socket.non_blocking(true, ec);
  if (!ec)
    Socket.native_non_blocking(true, ec);
  if (!ec)
    Socket.set_option(asio::ip::tcp::no_delay(true), ec);
  if (ec)
    fail(base::Step::Connect, ec.message(), false);
  if (::connect(Socket.native_handle(), address.data(),
                static_cast<socklen_t>(address.size())) == 0)
    return;
  if (errno != EINPROGRESS)
    fail(base::Step::Connect,
         boost::system::error_code(errno, boost::system::system_category())
             .message(),
         false);
  if (!wait(POLLOUT, deadline))
    fail(base::Step::Connect, "the deadline passed", false);
  int error = 0;
  socklen_t n = sizeof error;
  getsockopt(Socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &n);
  if (error != 0)
    fail(base::Step::Connect,
         boost::system::error_code(error, boost::system::system_category())
             .message(),
         false);
}

void ClientSocket::send(std::string_view bytes, base::TimePoint deadline) {
  bool sent = false;
  while (!bytes.empty()) {
    boost::system::error_code ec;
    std::size_t n =
        Socket.write_some(asio::buffer(bytes.data(), bytes.size()), ec);
    if (isCancelled())
      fail(base::Step::Dispatch, "the request was cancelled", sent || n > 0);
    if (ec == asio::error::would_block) {
      if (!wait(POLLOUT, deadline))
        fail(base::Step::Dispatch, "the deadline passed", sent);
      continue;
    }
    if (ec)
      fail(base::Step::Dispatch, ec.message(), sent);
    sent = true;
    bytes.remove_prefix(n);
  }
}

std::size_t ClientSocket::receive(char *buffer, std::size_t size,
                                  base::TimePoint deadline) {
  for (;;) {
    boost::system::error_code ec;
    std::size_t n = Socket.read_some(asio::buffer(buffer, size), ec);
    if (isCancelled())
      fail(base::Step::Answer, "the request was cancelled", true);
    if (!ec)
      return n;
    if (ec == asio::error::eof)
      return 0;
    if (ec != asio::error::would_block)
      fail(base::Step::Answer, ec.message(), true);
    if (!wait(POLLIN, deadline))
      fail(base::Step::Answer, "the deadline passed", true);
  }
}

void ClientSocket::cancel() {
  std::lock_guard lock(Mutex);
  Cancelled = true;
  ::shutdown(Socket.native_handle(), SHUT_RDWR);
}

bool ClientSocket::isCancelled() const {
  std::lock_guard lock(Mutex);
  return Cancelled;
}

bool ClientSocket::isQuiet() const {
  return !wait(POLLIN | POLLRDHUP, base::TimePoint::min());
}

bool ClientSocket::wait(short events, base::TimePoint deadline) const {
  for (;;) {
    auto now = base::TimePoint::clock::now();
    int left = 0;
    if (deadline > now)
      left = static_cast<int>(
          std::chrono::ceil<std::chrono::milliseconds>(deadline - now).count());
    // The descriptor stays valid while this object lives: cancel() only shuts
    // the connection down.
    pollfd entry{const_cast<asio::ip::tcp::socket &>(Socket).native_handle(),
                 events, 0};
    int n = ::poll(&entry, 1, left);
    if (n > 0)
      return true;
    if (n == 0 || errno != EINTR)
      return false;
  }
}

void ClientSocket::fail(base::Step step, const std::string &message,
                        bool sent) const {
  throw HttpClientError(step, Peer, Peer + ": " + message, sent);
}

} // namespace bergamot::adapterhttp
