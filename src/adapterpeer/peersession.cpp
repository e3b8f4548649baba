#include "adapterpeer/peersession.h"

#include "libbergamotbase/digest.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace bergamot::adapterpeer {

using base::Error;
using base::Step;
using boost::system::error_code;

namespace {

/// Interval at which the deadlines of a session are checked.
constexpr std::chrono::milliseconds DeadlineCheckInterval{100};

} // namespace

PeerSession::PeerSession(std::shared_ptr<boost::asio::io_context> context,
                         Tcp::socket socket, wire::ConnectionRole role,
                         std::string remoteAddress, const PeerOptions &options,
                         const PeerHandlers &handlers)
    : Context(std::move(context)), Socket(std::move(socket)),
      Strand(boost::asio::make_strand(Socket.get_executor())), Timer(Strand),
      Options(options), Handlers(handlers),
      RemoteAddress(std::move(remoteAddress)),
      PeerHandshake(options.Secrets, options.Self, role,
                    base::randomBytes(wire::Handshake::NonceBytes)),
      Liveness(options.Heartbeat, std::chrono::steady_clock::now()),
      HandshakeDeadline(std::chrono::steady_clock::now() +
                        options.HandshakeTimeout) {}

void PeerSession::start() {
  auto self = shared_from_this();
  boost::asio::post(Strand, [self] {
    error_code ec;
    self->Socket.set_option(Tcp::no_delay(true), ec);
    self->enqueue(wire::encodeFrame(self->PeerHandshake.hello()));
    self->startTimer();
    self->readSome();
  });
}

bool PeerSession::send(wire::Envelope message) {
  if (State.load() != SessionState::Open)
    return false;
  Handlers.AddMetadata(message);
  return enqueue(wire::encodeFrame(message));
}

void PeerSession::close(const Error &reason) {
  auto self = shared_from_this();
  boost::asio::post(Strand, [self, reason] { self->closeOnStrand(reason); });
}

void PeerSession::readSome() {
  auto self = shared_from_this();
  Socket.async_read_some(
      boost::asio::buffer(ReadBuffer),
      boost::asio::bind_executor(
          Strand, [self](const error_code &ec, std::size_t n) {
            if (ec)
              self->closeOnStrand(
                  Error(Step::Connect, self->RemoteAddress, ec.message()));
            else
              self->onBytesRead(n);
          }));
}

void PeerSession::onBytesRead(std::size_t count) {
  if (State.load() == SessionState::Closed)
    return;
  try {
    Decoder.addBytes({ReadBuffer.data(), count});
    Liveness.dataReceived(std::chrono::steady_clock::now());
    while (const auto body = Decoder.nextFrame()) {
      handleFrame(*body);
      if (State.load() == SessionState::Closed)
        return;
    }
    readSome();
  } catch (const Error &e) {
    closeOnStrand(e);
  }
}

void PeerSession::handleFrame(const std::string &body) {
  wire::Envelope message = wire::decodeFrame(body);
  if (State.load() == SessionState::Handshaking)
    handleHandshakeMessage(message);
  else
    Handlers.Received(shared_from_this(), std::move(message));
}

void PeerSession::handleHandshakeMessage(const wire::Envelope &message) {
  const bool isInitiator =
      PeerHandshake.role() == wire::ConnectionRole::Initiator;
  if (message.payload.type == wire::fb::Payload::Hello) {
    auto proof = PeerHandshake.processHello(message);
    if (isInitiator)
      enqueue(wire::encodeFrame(proof));
    else
      AcceptorProof = wire::encodeFrame(proof);
    return;
  }
  PeerHandshake.verifyProof(message);
  if (!isInitiator)
    enqueue(std::exchange(AcceptorProof, {}));
  completeHandshake();
}

void PeerSession::completeHandshake() {
  Decoder.setMaxFrameBytes(wire::MaxFrameBytes);
  State.store(SessionState::Open);
  Handlers.Opened(shared_from_this());
  send(Handlers.MakeHeartbeat(shared_from_this()));
}

bool PeerSession::enqueue(std::string frame) {
  {
    const std::lock_guard lock(SendMutex);
    if (QueuedBytes + frame.size() > Options.MaxQueuedBytes)
      return false;
    QueuedBytes += frame.size();
    SendQueue.push_back(std::move(frame));
    if (std::exchange(IsWriting, true))
      return true;
  }
  auto self = shared_from_this();
  boost::asio::post(Strand, [self] { self->writeNext(); });
  return true;
}

void PeerSession::writeNext() {
  if (State.load() == SessionState::Closed)
    return;
  // All queued frames are sent in one gathered write to save system calls.
  std::vector<boost::asio::const_buffer> buffers;
  {
    const std::lock_guard lock(SendMutex);
    WritingFrames.clear();
    std::swap(WritingFrames, SendQueue);
  }
  buffers.reserve(WritingFrames.size());
  for (const auto &frame : WritingFrames)
    buffers.emplace_back(frame.data(), frame.size());
  auto self = shared_from_this();
  boost::asio::async_write(
      Socket, buffers,
      boost::asio::bind_executor(
          Strand, [self](const error_code &ec, std::size_t /*count*/) {
            self->onWritten(ec);
          }));
}

void PeerSession::onWritten(const error_code &ec) {
  if (ec) {
    closeOnStrand(Error(Step::Connect, RemoteAddress, ec.message()));
    return;
  }
  {
    const std::lock_guard lock(SendMutex);
    for (const auto &frame : WritingFrames)
      QueuedBytes -= frame.size();
    if (SendQueue.empty()) {
      IsWriting = false;
      WritingFrames.clear();
      return;
    }
  }
  writeNext();
}

void PeerSession::startTimer() {
  Timer.expires_after(DeadlineCheckInterval);
  auto self = shared_from_this();
  Timer.async_wait(
      boost::asio::bind_executor(Strand, [self](const error_code &ec) {
        if (!ec)
          self->onTimer();
      }));
}

void PeerSession::onTimer() {
  const auto now = std::chrono::steady_clock::now();
  const SessionState state = State.load();
  if (state == SessionState::Closed)
    return;
  if (state == SessionState::Handshaking && now >= HandshakeDeadline)
    return closeOnStrand(
        Error(Step::Connect, RemoteAddress, "no proof before the deadline"));
  if (Liveness.isTimedOut(now))
    return closeOnStrand(
        Error(Step::Connect, RemoteAddress, "no frame before the deadline"));
  if (state == SessionState::Open && Liveness.isSendDue(now)) {
    Liveness.heartbeatSent(now);
    send(Handlers.MakeHeartbeat(shared_from_this()));
  }
  startTimer();
}

void PeerSession::closeOnStrand(const Error &reason) {
  const SessionState previous = State.exchange(SessionState::Closed);
  if (previous == SessionState::Closed)
    return;
  Timer.cancel();
  error_code ec;
  Socket.close(ec);
  Handlers.Closed(shared_from_this(), reason);
}

} // namespace bergamot::adapterpeer
