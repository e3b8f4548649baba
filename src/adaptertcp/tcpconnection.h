#ifndef BERGAMOT_ADAPTERTCP_TCPCONNECTION_H
#define BERGAMOT_ADAPTERTCP_TCPCONNECTION_H

#include "adaptertcp/unreaddatapolicy.h"
#include "libbergamotbase/timetypes.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bergamot::adaptertcp {

/// How a connection ended.
enum class CloseReason {
  /// The peer has closed it.
  EndOfStream,
  Reset,
  /// The peer hasn't acknowledged or read in time what it was sent, see
  /// UnreadDataPolicy.
  TimedOut,
};

/// A non-blocking TCP connection on an event loop. All connections of the loop
/// share one read buffer, so an idle connection holds none. All functions must
/// be called on the loop's thread.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
public:
  using Socket = boost::asio::ip::tcp::socket;

  /// Callbacks to the owner. OnData receives data as it arrives. OnClose is
  /// called once, unless the owner closes the connection itself. OnDrained is
  /// called when the kernel has accepted all bytes that send() had to queue.
  struct Handlers {
    std::function<void(std::string_view)> OnData;
    std::function<void(CloseReason)> OnClose;
    std::function<void()> OnDrained;
  };

  explicit TcpConnection(Socket socket,
                         ConnectionOrigin origin = ConnectionOrigin::Accepted);

  /// Sets the socket options and starts reading.
  void start(Handlers handlers);
  /// Replaces the handlers, e.g. when a pooled connection is passed to another
  /// owner.
  void setHandlers(Handlers handlers);
  /// Pauses or resumes reading. While reading is paused, TCP flow control
  /// limits the peer.
  void setReading(bool on);
  bool isReading() const { return Reading; }

  /// Writes as many bytes as the kernel accepts and queues the rest.
  void send(std::string_view bytes);
  /// Returns the number of queued bytes that the kernel hasn't accepted yet.
  std::size_t unsentBytes() const { return Unsent.size(); }
  /// Returns whether the peer may not have acknowledged all bytes yet, see
  /// UnreadDataPolicy::mayBeUnread().
  bool hasUnreadData() const;
  /// Sets until when the peer may leave unread what it is sent from now on,
  /// typically the deadline of a request. Without one, or if it has passed,
  /// that is UnansweredTimeout.
  void setReadDeadline(base::TimePoint deadline);
  /// Used by ConnectionMonitor: gives the connection up if its policy says so.
  /// Returns its unread data; nullopt if it needs no further checks.
  std::optional<UnreadData> checkUnreadData(base::TimePoint now);
  /// Used by ConnectionMonitor: returns the address of a server that has to be
  /// probed, as nothing has been heard of it while it has unread data.
  std::optional<Socket::endpoint_type> serverToProbe(base::TimePoint now);
  /// Used by ConnectionMonitor: records the result of a probe of the server.
  void onServerProbed(bool answered, base::TimePoint probedAt,
                      base::TimePoint now);
  /// Resets the connection and reports CloseReason::TimedOut. The log gets the
  /// reason and the number of unread bytes.
  void giveUp(GiveUpReason reason, std::size_t unreadBytes);

  /// Closes immediately; no handler is called afterwards.
  void close();
  /// Closes with a reset, so that the peer can't mistake a truncated message
  /// for a complete one.
  void abort();
  /// Sends the queued bytes, shuts down the sending side and discards input
  /// until the peer closes too. Closing immediately with unread input would
  /// reset the connection, and the peer could lose the last bytes sent.
  void closeAfterSending();

  bool isOpen() const { return Sock.is_open(); }
  Socket &socket() { return Sock; }

private:
  void waitForReadable();
  void readInput();
  void waitForWritable();
  void flush();
  void closeAndNotify(CloseReason reason);
  void resetOnClose();
  void shutdownSend();
  void monitorUnreadData();
  SendState sendState() const;
  std::size_t unreadBytesAtMost(const SendState &state) const;
  void extendKernelTimeout(base::TimePoint now);

  Socket Sock;
  /// Shared, so that a handler stays alive while it runs, even if it replaces
  /// the handlers.
  std::shared_ptr<const Handlers> CurrentHandlers =
      std::make_shared<Handlers>();
  std::string Unsent;
  std::uint64_t AcceptedBytes = 0;
  std::uint64_t DeferredBytes = 0;
  std::uint64_t ReceivedBytes = 0;
  UnreadDataPolicy Unread;
  /// AcceptedBytes when the peer was last known to have read everything.
  std::uint64_t ReadBytes = 0;
  /// The present value of TCP_USER_TIMEOUT; 0 for the system's default.
  std::chrono::milliseconds KernelTimeout{0};
  /// ConnectionMonitor checks the connection.
  bool Monitored = false;
  bool Reading = false;
  bool WaitingForReadable = false;
  bool WaitingForWritable = false;
  bool ClosingAfterSend = false;
};

} // namespace bergamot::adaptertcp

#endif
