#include "adaptertcp/tcpconnection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace bergamot::adaptertcp {

namespace {

using boost::system::error_code;

/// One read fills at most this much. It covers the largest request of the
/// deployments in one system call.
constexpr std::size_t ReadBufferBytes = 32768;

/// Unacknowledged data ends a connection after this time, so that a peer
/// behind a partition is noticed. It is above the longest retransmission
/// pause that 3% of lost packets cause on these links.
constexpr unsigned UserTimeoutMs = 5000;

std::array<char, ReadBufferBytes> &sharedBuffer() {
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
  // The option isn't vital: request deadlines end what hangs.
  (void)::setsockopt(Sock.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &timeout, sizeof timeout);
  Reading = true;
  waitForInput();
}

void TcpConnection::setHandlers(Handlers handlers) {
  Owner = std::make_shared<const Handlers>(std::move(handlers));
}

void TcpConnection::setReading(bool on) {
  Reading = on;
  if (on)
    waitForInput();
}

void TcpConnection::waitForInput() {
  if (WaitingInput || !Reading || !Sock.is_open())
    return;
  WaitingInput = true;
  Sock.async_wait(Socket::wait_read,
                  [self = shared_from_this()](const error_code &ec) {
                    self->WaitingInput = false;
                    if (ec || !self->Sock.is_open())
                      return;
                    if (self->Reading)
                      self->readInput();
                  });
}

void TcpConnection::readInput() {
  auto &buf = sharedBuffer();
  error_code ec;
  const std::size_t n = Sock.read_some(boost::asio::buffer(buf), ec);
  if (ec == boost::asio::error::would_block ||
      ec == boost::asio::error::try_again) {
    waitForInput();
    return;
  }
  if (ec) {
    fail(ec == boost::asio::error::eof ? CloseReason::EndOfStream
                                       : CloseReason::Reset);
    return;
  }
  const auto owner = Owner;
  if (!Finishing && owner->OnData)
    owner->OnData(std::string_view(buf.data(), n));
  waitForInput();
}

void TcpConnection::send(std::string_view bytes) {
  if (!Sock.is_open() || Finishing)
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
    waitForSpace();
  }
}

void TcpConnection::waitForSpace() {
  if (WaitingSpace || !Sock.is_open())
    return;
  WaitingSpace = true;
  Sock.async_wait(Socket::wait_write,
                  [self = shared_from_this()](const error_code &ec) {
                    self->WaitingSpace = false;
                    if (!ec && self->Sock.is_open())
                      self->flush();
                  });
}

void TcpConnection::flush() {
  error_code ec;
  const std::size_t n = Sock.write_some(boost::asio::buffer(Unsent), ec);
  if (ec && ec != boost::asio::error::would_block &&
      ec != boost::asio::error::try_again) {
    fail(CloseReason::Reset);
    return;
  }
  Unsent.erase(0, n);
  if (!Unsent.empty()) {
    waitForSpace();
    return;
  }
  Unsent.shrink_to_fit();
  if (Finishing) {
    finishSending();
    return;
  }
  const auto owner = Owner;
  if (owner->OnDrained)
    owner->OnDrained();
}

void TcpConnection::closeAfterSending() {
  if (!Sock.is_open() || Finishing)
    return;
  // The handlers may hold the owner, and the owner this connection.
  const auto self = shared_from_this();
  Finishing = true;
  setHandlers({});
  if (Unsent.empty())
    finishSending();
  setReading(true);
}

void TcpConnection::finishSending() {
  error_code ec;
  Sock.shutdown(Socket::shutdown_send, ec);
  if (ec)
    close();
}

void TcpConnection::fail(CloseReason reason) {
  const auto owner = Owner;
  close();
  if (owner->OnClose)
    owner->OnClose(reason);
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
