#ifndef BERGAMOT_ADAPTERTCP_TCPCONNECTION_H
#define BERGAMOT_ADAPTERTCP_TCPCONNECTION_H

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bergamot::adaptertcp {

/// How the peer ended a connection.
enum class CloseReason { EndOfStream, Reset };

/// A non-blocking TCP connection on an event loop. Bytes are read into one
/// buffer that all connections of the loop share, so an idle connection holds
/// no buffer. All calls are made on the loop's thread.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
public:
  using Socket = boost::asio::ip::tcp::socket;

  /// What the owner is told. OnData gets each chunk as it arrives; OnClose is
  /// called once, unless the owner closes the connection itself; OnDrained is
  /// called when all bytes passed to send() are in the kernel's buffer.
  struct Handlers {
    std::function<void(std::string_view)> OnData;
    std::function<void(CloseReason)> OnClose;
    std::function<void()> OnDrained;
  };

  explicit TcpConnection(Socket socket);

  /// Sets the socket's options and starts reading.
  void start(Handlers handlers);
  /// Replaces the handlers, e.g. when a kept connection changes its user.
  void setHandlers(Handlers handlers);
  /// Stops or resumes reading; while stopped, the peer is held back by TCP.
  void setReading(bool on);

  /// Sends bytes now as far as the kernel takes them and keeps the rest.
  void send(std::string_view bytes);
  /// Returns the number of bytes that the kernel hasn't taken yet.
  std::size_t unsentBytes() const { return Unsent.size(); }

  /// Closes at once; no handler is called any more.
  void close();
  /// Closes with a reset, so that the peer can't take what it has received
  /// for complete.
  void abort();
  /// Sends what is left, ends the sending direction and discards input until
  /// the peer closes too; an immediate close with unread input would reset
  /// the connection and could destroy the last bytes sent.
  void closeAfterSending();

  bool isOpen() const { return Sock.is_open(); }
  Socket &socket() { return Sock; }

private:
  void waitForInput();
  void readInput();
  void waitForSpace();
  void flush();
  void fail(CloseReason reason);
  void finishSending();

  Socket Sock;
  /// Shared, so that a handler stays alive while it replaces the handlers.
  std::shared_ptr<const Handlers> Owner = std::make_shared<Handlers>();
  std::string Unsent;
  bool Reading = false;
  bool WaitingInput = false;
  bool WaitingSpace = false;
  bool Finishing = false;
};

} // namespace bergamot::adaptertcp

#endif
