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

/// What a daemon does with its peers' messages. The functions are called on
/// the network threads, one at a time for one session, and must not block.
struct PeerHandlers {
  std::function<void(const PeerSessionPtr &)> Opened;
  std::function<void(const PeerSessionPtr &, wire::Envelope)> Received;
  std::function<void(const PeerSessionPtr &, const base::Error &)> Closed;
  /// Returns the heartbeat to send on a session.
  std::function<wire::Envelope(const PeerSessionPtr &)> MakeHeartbeat;
  /// Adds configuration version and incarnation to an outgoing message.
  std::function<void(wire::Envelope &)> Stamp;
};

/// Settings shared by all sessions of a daemon.
struct PeerOptions {
  wire::DeploymentSecrets Secrets;
  wire::PeerIdentity Self;
  wire::HeartbeatRules Heartbeat;
  /// Time in which a connection must be established and proven.
  std::chrono::milliseconds HandshakeTimeout{2000};
  /// Bytes that may wait to be sent to one peer before the session is closed:
  /// a peer that reads nothing must not fill this daemon's memory.
  std::size_t MaxQueuedBytes = 8 * 1024 * 1024;
};

/// One authenticated TCP connection to another daemon. send() may be called
/// from any thread; everything else runs on the session's strand.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
public:
  using Tcp = boost::asio::ip::tcp;

  /// The session keeps the context alive, as its socket and timer use it until
  /// they are destroyed.
  PeerSession(std::shared_ptr<boost::asio::io_context> context,
              Tcp::socket socket, wire::ConnectionEnd end,
              std::string remoteAddress, const PeerOptions &options,
              const PeerHandlers &handlers);

  /// Starts the handshake.
  void start();

  /// Queues a message. Returns false if the session is closed or its queue
  /// is full, in which case no byte of the message was or will be sent.
  bool send(wire::Envelope message);

  /// Closes the connection; the reason is given to the Closed handler.
  void close(const base::Error &reason);

  const std::string &remoteAddress() const { return RemoteAddress; }
  const wire::PeerIdentity &peer() const { return Greeting.peer(); }
  wire::ConnectionEnd end() const { return Greeting.end(); }
  bool isOpen() const { return State.load() == Life::Open; }

private:
  enum class Life { Greeting, Open, Closed };

  void readSome();
  void handleBytes(std::size_t count);
  void handleFrame(const std::string &body);
  void handleGreeting(const wire::Envelope &message);
  void finishGreeting();
  void writeNext();
  void writeDone(const boost::system::error_code &ec);
  bool enqueue(std::string frame);
  void armTimer();
  void onTimer();
  void closeOnStrand(const base::Error &reason);

  std::shared_ptr<boost::asio::io_context> Context;
  Tcp::socket Socket;
  boost::asio::strand<boost::asio::any_io_executor> Strand;
  boost::asio::steady_timer Timer;
  const PeerOptions &Options;
  const PeerHandlers &Handlers;
  const std::string RemoteAddress;
  wire::Handshake Greeting;
  wire::FrameDecoder Decoder{wire::MaxUnprovenBytes};
  wire::HeartbeatMonitor Monitor;
  base::TimePoint GreetingDeadline;
  std::atomic<Life> State{Life::Greeting};
  std::array<char, 64 * 1024> ReadBuffer{};
  /// Proof that waits until the initiator has proven itself.
  std::string AcceptorProof;

  /// Guards the send queue; taken last, never while calling a handler.
  std::mutex SendMutex;
  std::deque<std::string> SendQueue;
  std::deque<std::string> InFlight;
  std::size_t QueuedBytes = 0;
  bool IsWriting = false;
};

} // namespace bergamot::adapterpeer

#endif
