#ifndef BERGAMOT_ADAPTERPEER_PEERSESSION_H
#define BERGAMOT_ADAPTERPEER_PEERSESSION_H

#include "libbergamotbase/error.h"
#include "libbergamotwire/framecodec.h"
#include "libbergamotwire/handshake.h"
#include "libbergamotwire/heartbeat.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace bergamot::adapterpeer {

class PeerSession;
using PeerSessionPtr = std::shared_ptr<PeerSession>;

/// Callbacks for the events of a daemon's peer sessions. They are called on the
/// network threads, never concurrently for the same session, and must not
/// block.
struct PeerHandlers {
  std::function<void(const PeerSessionPtr &)> Opened;
  std::function<void(const PeerSessionPtr &, wire::Envelope)> Received;
  std::function<void(const PeerSessionPtr &, const base::Error &)> Closed;
  /// Creates the next heartbeat for a session.
  std::function<wire::Envelope(const PeerSessionPtr &)> MakeHeartbeat;
  /// Sets the configuration version and incarnation of an outgoing message.
  std::function<void(wire::Envelope &)> AddMetadata;
};

/// Settings shared by all sessions of a daemon.
struct PeerOptions {
  wire::DeploymentSecrets Secrets;
  wire::PeerIdentity Self;
  wire::HeartbeatSettings Heartbeat;
  /// Time limit for connecting, and then for completing the handshake.
  std::chrono::milliseconds HandshakeTimeout{2000};
  /// Maximum size of a session's send queue, so that a peer that stops reading
  /// can't exhaust this daemon's memory. Further messages are rejected.
  std::size_t MaxQueuedBytes = 8 * 1024 * 1024;
};

/// An authenticated TCP connection to another daemon. send() and close() may be
/// called from any thread; all I/O runs on the session's strand.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
public:
  using Tcp = boost::asio::ip::tcp;

  /// The session shares ownership of the context, because its socket and timer
  /// use it until they are destroyed.
  PeerSession(std::shared_ptr<boost::asio::io_context> context,
              Tcp::socket socket, wire::ConnectionRole role,
              std::string remoteAddress, const PeerOptions &options,
              const PeerHandlers &handlers);

  /// Starts the handshake.
  void start();

  /// Queues a message. Returns false if the session isn't open or its queue is
  /// full; no byte of the message is sent then.
  bool send(wire::Envelope message);

  /// Closes the connection and passes the reason to the Closed handler.
  void close(const base::Error &reason);

  const std::string &remoteAddress() const { return RemoteAddress; }
  const wire::PeerIdentity &peer() const { return PeerHandshake.peer(); }
  wire::ConnectionRole role() const { return PeerHandshake.role(); }
  bool isOpen() const { return State.load() == SessionState::Open; }

private:
  enum class SessionState { Handshaking, Open, Closed };

  void readSome();
  void onBytesRead(std::size_t count);
  void handleFrame(const std::string &body);
  void handleHandshakeMessage(const wire::Envelope &message);
  void completeHandshake();
  void writeNext();
  void onWritten(const boost::system::error_code &ec);
  bool enqueue(std::string frame);
  void startTimer();
  void onTimer();
  void closeOnStrand(const base::Error &reason);

  std::shared_ptr<boost::asio::io_context> Context;
  Tcp::socket Socket;
  boost::asio::strand<boost::asio::any_io_executor> Strand;
  boost::asio::steady_timer Timer;
  const PeerOptions &Options;
  const PeerHandlers &Handlers;
  const std::string RemoteAddress;
  wire::Handshake PeerHandshake;
  wire::FrameDecoder Decoder{wire::MaxUnauthenticatedBytes};
  wire::HeartbeatMonitor Liveness;
  base::TimePoint HandshakeDeadline;
  std::atomic<SessionState> State{SessionState::Handshaking};
  std::array<char, 64 * 1024> ReadBuffer{};
  /// Encoded proof of the acceptor, sent once the initiator has authenticated
  /// itself.
  std::string AcceptorProof;

  /// Guards the members below. Last in the lock order; not held while a handler
  /// is called.
  std::mutex SendMutex;
  std::deque<std::string> SendQueue;
  std::deque<std::string> WritingFrames;
  std::size_t QueuedBytes = 0;
  bool IsWriting = false;
};

} // namespace bergamot::adapterpeer

#endif
