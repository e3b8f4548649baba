#include "adaptertcp/tcpconnection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace bergamot::adaptertcp {

namespace {

using boost::system::error_code;

/// Upper limit for one read. The largest request of the deployments fits, so it
/// takes one system call.
constexpr std::size_t ReadBufferBytes = 32768;

/// TCP_USER_TIMEOUT: a connection is closed if sent data stays unacknowledged
/// for this time, which detects a peer behind a network partition. It exceeds
/// the longest retransmission delay caused by 3% packet loss on these links.
constexpr unsigned UserTimeoutMs = 5000;

std::array<char, ReadBufferBytes> &sharedReadBuffer() {
  thread_local std::array<char, ReadBufferBytes> buf;
  return buf;
}

} // namespace

TcpConnection::TcpConnection(Socket socket) : Sock(std::move(socket)) {}

void TcpConnection::start(Handlers handlers) {
  setHandlers(std::move(handlers));
  error_code ec;
  Sock.non_blocking(true, ec);
  Sock.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  unsigned timeout = UserTimeoutMs;
  // A failure is ignored: request deadlines also end calls on a dead
  // connection.
  (void)::setsockopt(Sock.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &timeout, sizeof timeout);
  Reading = true;
  waitForReadable();
}

void TcpConnection::setHandlers(Handlers handlers) {
  CurrentHandlers = std::make_shared<const Handlers>(std::move(handlers));
}

void TcpConnection::setReading(bool on) {
  Reading = on;
  if (on)
    waitForReadable();
}

void TcpConnection::waitForReadable() {
  if (WaitingForReadable || !Reading || !Sock.is_open())
    return;
  WaitingForReadable = true;
  Sock.async_wait(Socket::wait_read,
                  [self = shared_from_this()](const error_code &ec) {
                    self->WaitingForReadable = false;
                    if (ec || !self->Sock.is_open())
                      return;
                    if (self->Reading)
                      self->readInput();
                  });
}

void TcpConnection::readInput() {
  auto &buf = sharedReadBuffer();
  error_code ec;
  const std::size_t n = Sock.read_some(boost::asio::buffer(buf), ec);
  if (ec == boost::asio::error::would_block ||
      ec == boost::asio::error::try_again) {
    waitForReadable();
    return;
  }
  if (ec) {
    closeAndNotify(ec == boost::asio::error::eof ? CloseReason::EndOfStream
                                                 : CloseReason::Reset);
    return;
  }
  const auto current = CurrentHandlers;
  if (!ClosingAfterSend && current->OnData)
    current->OnData(std::string_view(buf.data(), n));
  waitForReadable();
}

void TcpConnection::send(std::string_view bytes) {
  if (!Sock.is_open() || ClosingAfterSend)
    return;
  if (!Unsent.empty()) {
    Unsent.append(bytes);
    return;
  }
  error_code ec;
  const std::size_t n =
      Sock.write_some(boost::asio::buffer(bytes.data(), bytes.size()), ec);
  if (ec && ec != boost::asio::error::would_block &&
      ec != boost::asio::error::try_again)
    return; // The read side reports the reset.
  if (n < bytes.size()) {
    Unsent.assign(bytes.substr(n));
    waitForWritable();
  }
}

void TcpConnection::waitForWritable() {
  if (WaitingForWritable || !Sock.is_open())
    return;
  WaitingForWritable = true;
  Sock.async_wait(Socket::wait_write,
                  [self = shared_from_this()](const error_code &ec) {
                    self->WaitingForWritable = false;
                    if (!ec && self->Sock.is_open())
                      self->flush();
                  });
}

void TcpConnection::flush() {
  error_code ec;
  const std::size_t n = Sock.write_some(boost::asio::buffer(Unsent), ec);
  if (ec && ec != boost::asio::error::would_block &&
      ec != boost::asio::error::try_again) {
    closeAndNotify(CloseReason::Reset);
    return;
  }
  Unsent.erase(0, n);
  if (!Unsent.empty()) {
    waitForWritable();
    return;
  }
  Unsent.shrink_to_fit();
  if (ClosingAfterSend) {
    shutdownSend();
    return;
  }
  const auto current = CurrentHandlers;
  if (current->OnDrained)
    current->OnDrained();
}

void TcpConnection::closeAfterSending() {
  if (!Sock.is_open() || ClosingAfterSend)
    return;
  // The handlers may hold the last reference to the owner, and the owner the
  // last one to this connection.
  const auto self = shared_from_this();
  ClosingAfterSend = true;
  setHandlers({});
  if (Unsent.empty())
    shutdownSend();
  setReading(true);
}

void TcpConnection::shutdownSend() {
  error_code ec;
  Sock.shutdown(Socket::shutdown_send, ec);
  if (ec)
    close();
}

void TcpConnection::closeAndNotify(CloseReason reason) {
  const auto current = CurrentHandlers;
  close();
  if (current->OnClose)
    current->OnClose(reason);
}

void TcpConnection::close() {
  const auto self = shared_from_this();
  setHandlers({});
  error_code ec;
  Sock.close(ec);
}

void TcpConnection::abort() {
  const auto self = shared_from_this();
  error_code ec;
  Sock.set_option(boost::asio::socket_base::linger(true, 0), ec);
  close();
}

} // namespace bergamot::adaptertcp
