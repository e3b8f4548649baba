#include "adaptertcp/tcpconnection.h"

#include "adaptertcp/connectionmonitor.h"
#include "libbergamotbase/jsonlog.h"

#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace bergamot::adaptertcp {

namespace {

using boost::system::error_code;

/// Upper limit for one read. The largest request of the deployments fits, so it
/// takes one system call.
constexpr std::size_t ReadBufferBytes = 32768;

std::array<char, ReadBufferBytes> &sharedReadBuffer() {
  thread_local std::array<char, ReadBufferBytes> buf;
  return buf;
}

CloseReason closeReason(const error_code &ec) {
  if (ec == boost::asio::error::eof)
    return CloseReason::EndOfStream;
  return ec == boost::asio::error::timed_out ? CloseReason::TimedOut
                                             : CloseReason::Reset;
}

} // namespace

TcpConnection::TcpConnection(Socket socket) : Sock(std::move(socket)) {}

void TcpConnection::start(Handlers handlers) {
  setHandlers(std::move(handlers));
  error_code ec;
  Sock.non_blocking(true, ec);
  Sock.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  setKernelTimeout(UnansweredTimeout);
  Reading = true;
  waitForReadable();
}

/// Sets TCP_USER_TIMEOUT, after which the kernel ends the connection if data
/// remains unacknowledged. The kernel counts a closed receive window as a lack
/// of acknowledgement, and also does so after the end of this process.
void TcpConnection::setKernelTimeout(std::chrono::milliseconds timeout) {
  if (std::exchange(KernelTimeout, timeout) == timeout)
    return;
  const auto value = static_cast<unsigned>(timeout.count());
  // A failure is ignored: request deadlines also end calls on a dead
  // connection.
  (void)::setsockopt(Sock.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &value, sizeof value);
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
    closeAndNotify(closeReason(ec));
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
  monitorUnreadData();
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
    closeAndNotify(closeReason(ec));
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

void TcpConnection::monitorUnreadData() {
  if (std::exchange(Monitored, true))
    return;
  Unread.dataQueued(std::chrono::steady_clock::now());
  auto &loop =
      boost::asio::query(Sock.get_executor(), boost::asio::execution::context);
  boost::asio::use_service<ConnectionMonitor>(loop).add(shared_from_this());
}

bool TcpConnection::hasUnreadData() const {
  if (!Sock.is_open())
    return false;
  // native_handle() isn't const.
  auto &socket = const_cast<Socket &>(Sock);
  return !Unsent.empty() ||
         (Monitored && sendQueueBytes(socket.native_handle()).value_or(0) > 0);
}

void TcpConnection::setReadDeadline(base::TimePoint deadline) {
  Unread.setReadDeadline(deadline, std::chrono::steady_clock::now(),
                         hasUnreadData());
}

std::optional<UnreadData> TcpConnection::checkUnreadData(base::TimePoint now) {
  if (!Sock.is_open())
    return std::nullopt;
  const auto state = readSendState(Sock.native_handle());
  if (!state || (state->QueuedBytes == 0 && Unsent.empty())) {
    Monitored = false;
    setKernelTimeout(UnansweredTimeout);
    return std::nullopt;
  }
  const std::size_t bytes = state->QueuedBytes + Unsent.size();
  if (const auto reason = Unread.check(*state, now)) {
    giveUp(*reason, bytes);
    return std::nullopt;
  }
  setKernelTimeout(Unread.kernelTimeout());
  return UnreadData{bytes, Unread.isStalled(now)};
}

void TcpConnection::giveUp(GiveUpReason reason, std::size_t unreadBytes) {
  if (!Sock.is_open())
    return;
  base::logInfo("connection.given_up", {{"reason", giveUpReasonName(reason)},
                                        {"bytes", unreadBytes},
                                        {"closing", ClosingAfterSend}});
  resetOnClose();
  closeAndNotify(CloseReason::TimedOut);
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
  resetOnClose();
  close();
}

void TcpConnection::resetOnClose() {
  error_code ec;
  Sock.set_option(boost::asio::socket_base::linger(true, 0), ec);
}

} // namespace bergamot::adaptertcp
