#include "adaptertcp/tcpconnection.h"

#include "adaptertcp/connectionmonitor.h"
#include "libbergamotbase/jsonlog.h"

#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
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

TcpConnection::TcpConnection(Socket socket, ConnectionOrigin origin)
    : Sock(std::move(socket)), Unread(origin) {}

void TcpConnection::start(Handlers handlers) {
  setHandlers(std::move(handlers));
  error_code ec;
  Sock.non_blocking(true, ec);
  Sock.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  Reading = true;
  waitForReadable();
}

/// Makes TCP_USER_TIMEOUT, after which the kernel ends the connection if data
/// remains unacknowledged, long enough for the data's deadline. It is never
/// reduced: the kernel may count from data that was sent earlier.
void TcpConnection::extendKernelTimeout(base::TimePoint now) {
  const auto timeout = Unread.kernelTimeout(now);
  if (timeout <= KernelTimeout)
    return;
  KernelTimeout = timeout;
  const auto value = static_cast<unsigned>(timeout.count());
  // A failure is ignored: the system's default keeps the connection for longer.
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
  ReceivedBytes += n;
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
  AcceptedBytes += n;
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
  AcceptedBytes += n;
  DeferredBytes += n;
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
  const auto now = std::chrono::steady_clock::now();
  ReadBytes = AcceptedBytes;
  Unread.dataQueued(
      {std::nullopt, 0, AcceptedBytes, DeferredBytes, ReceivedBytes}, now);
  extendKernelTimeout(now);
  auto &loop =
      boost::asio::query(Sock.get_executor(), boost::asio::execution::context);
  boost::asio::use_service<ConnectionMonitor>(loop).add(shared_from_this());
}

SendState TcpConnection::sendState() const {
  // native_handle() isn't const.
  auto &socket = const_cast<Socket &>(Sock);
  return {sendQueueBytes(socket.native_handle()), Unsent.size(), AcceptedBytes,
          DeferredBytes, ReceivedBytes};
}

bool TcpConnection::hasUnreadData() const {
  return Sock.is_open() && Monitored &&
         Unread.mayBeUnread(sendState(), std::chrono::steady_clock::now());
}

void TcpConnection::setReadDeadline(base::TimePoint deadline) {
  const auto now = std::chrono::steady_clock::now();
  Unread.setReadDeadline(deadline, now, hasUnreadData());
  if (Monitored)
    extendKernelTimeout(now);
}

/// Returns the unread bytes, or a bound on them if the system doesn't tell.
std::size_t TcpConnection::unreadBytesAtMost(const SendState &state) const {
  if (state.QueuedBytes)
    return *state.QueuedBytes + state.UnsentBytes;
  error_code ec;
  boost::asio::socket_base::send_buffer_size bufferBytes;
  Sock.get_option(bufferBytes, ec);
  std::uint64_t bytes = state.AcceptedBytes - ReadBytes;
  if (!ec)
    bytes = std::min(bytes, static_cast<std::uint64_t>(bufferBytes.value()));
  return static_cast<std::size_t>(bytes) + state.UnsentBytes;
}

std::optional<UnreadData> TcpConnection::checkUnreadData(base::TimePoint now) {
  if (!Sock.is_open())
    return std::nullopt;
  const SendState state = sendState();
  if (!Unread.mayBeUnread(state, now)) {
    Monitored = false;
    return std::nullopt;
  }
  const std::size_t bytes = unreadBytesAtMost(state);
  if (const auto reason = Unread.check(state, now)) {
    giveUp(*reason, bytes);
    return std::nullopt;
  }
  extendKernelTimeout(now);
  return UnreadData{bytes, Unread.isStalled(now),
                    !state.QueuedBytes && state.UnsentBytes == 0};
}

std::optional<TcpConnection::Socket::endpoint_type>
TcpConnection::serverToProbe(base::TimePoint now) {
  if (!Unread.needsProbe(now))
    return std::nullopt;
  error_code ec;
  const auto server = Sock.remote_endpoint(ec);
  return ec ? std::nullopt : std::optional(server);
}

void TcpConnection::onServerProbed(bool answered, base::TimePoint probedAt,
                                   base::TimePoint now) {
  if (answered) {
    Unread.recordProbeAnswer(now);
    return;
  }
  const auto data = checkUnreadData(now);
  if (data && Unread.isUnreachable(probedAt))
    giveUp(GiveUpReason::Unreachable, data->Bytes);
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
