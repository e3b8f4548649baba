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

/// How often deadlines of a session are checked.
constexpr std::chrono::milliseconds TimerInterval{100};

} // namespace

PeerSession::PeerSession(std::shared_ptr<boost::asio::io_context> context,
                         Tcp::socket socket, wire::ConnectionEnd end,
                         std::string remoteAddress, const PeerOptions &options,
                         const PeerHandlers &handlers)
    : Context(std::move(context)), Socket(std::move(socket)),
      Strand(boost::asio::make_strand(Socket.get_executor())), Timer(Strand),
      Options(options), Handlers(handlers),
      RemoteAddress(std::move(remoteAddress)),
      Greeting(options.Secrets, options.Self, end,
               base::randomBytes(wire::Handshake::NonceBytes)),
      Monitor(options.Heartbeat, std::chrono::steady_clock::now()),
      GreetingDeadline(std::chrono::steady_clock::now() +
                       options.HandshakeTimeout) {}

void PeerSession::start() {
  auto self = shared_from_this();
  boost::asio::post(Strand, [self] {
    error_code ec;
    self->Socket.set_option(Tcp::no_delay(true), ec);
    self->enqueue(wire::encodeFrame(self->Greeting.hello()));
    self->armTimer();
    self->readSome();
  });
}

bool PeerSession::send(wire::Envelope message) {
  if (State.load() != Life::Open)
    return false;
  Handlers.Stamp(message);
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
              self->handleBytes(n);
          }));
}

void PeerSession::handleBytes(std::size_t count) {
  if (State.load() == Life::Closed)
    return;
  try {
    Decoder.addBytes({ReadBuffer.data(), count});
    Monitor.frameReceived(std::chrono::steady_clock::now());
    while (const auto body = Decoder.nextFrame()) {
      handleFrame(*body);
      if (State.load() == Life::Closed)
        return;
    }
    readSome();
  } catch (const Error &e) {
    closeOnStrand(e);
  }
}

void PeerSession::handleFrame(const std::string &body) {
  wire::Envelope message = wire::decodeFrame(body);
  if (State.load() == Life::Greeting)
    handleGreeting(message);
  else
    Handlers.Received(shared_from_this(), std::move(message));
}

void PeerSession::handleGreeting(const wire::Envelope &message) {
  const bool isInitiator = Greeting.end() == wire::ConnectionEnd::Initiator;
  if (message.payload.type == wire::fb::Payload::Hello) {
    auto proof = Greeting.takeHello(message);
    if (isInitiator)
      enqueue(wire::encodeFrame(proof));
    else
      AcceptorProof = wire::encodeFrame(proof);
    return;
  }
  Greeting.takeProof(message);
  if (!isInitiator)
    enqueue(std::exchange(AcceptorProof, {}));
  finishGreeting();
}

void PeerSession::finishGreeting() {
  Decoder.setMaxFrameBytes(wire::MaxFrameBytes);
  State.store(Life::Open);
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
  if (State.load() == Life::Closed)
    return;
  // All waiting frames go out in one gathered write to save system calls.
  std::vector<boost::asio::const_buffer> buffers;
  {
    const std::lock_guard lock(SendMutex);
    InFlight.clear();
    std::swap(InFlight, SendQueue);
  }
  buffers.reserve(InFlight.size());
  for (const auto &frame : InFlight)
    buffers.emplace_back(frame.data(), frame.size());
  auto self = shared_from_this();
  boost::asio::async_write(
      Socket, buffers,
      boost::asio::bind_executor(
          Strand, [self](const error_code &ec, std::size_t /*count*/) {
            self->writeDone(ec);
          }));
}

void PeerSession::writeDone(const error_code &ec) {
  if (ec) {
    closeOnStrand(Error(Step::Connect, RemoteAddress, ec.message()));
    return;
  }
  {
    const std::lock_guard lock(SendMutex);
    for (const auto &frame : InFlight)
      QueuedBytes -= frame.size();
    if (SendQueue.empty()) {
      IsWriting = false;
      InFlight.clear();
      return;
    }
  }
  writeNext();
}

void PeerSession::armTimer() {
  Timer.expires_after(TimerInterval);
  auto self = shared_from_this();
  Timer.async_wait(
      boost::asio::bind_executor(Strand, [self](const error_code &ec) {
        if (!ec)
          self->onTimer();
      }));
}

void PeerSession::onTimer() {
  const auto now = std::chrono::steady_clock::now();
  const Life state = State.load();
  if (state == Life::Closed)
    return;
  if (state == Life::Greeting && now >= GreetingDeadline)
    return closeOnStrand(
        Error(Step::Connect, RemoteAddress, "no proof before the deadline"));
  if (Monitor.isDead(now))
    return closeOnStrand(
        Error(Step::Connect, RemoteAddress, "no frame before the deadline"));
  if (state == Life::Open && Monitor.isSendDue(now)) {
    Monitor.heartbeatSent(now);
    send(Handlers.MakeHeartbeat(shared_from_this()));
  }
  armTimer();
}

void PeerSession::closeOnStrand(const Error &reason) {
  const Life before = State.exchange(Life::Closed);
  if (before == Life::Closed)
    return;
  Timer.cancel();
  error_code ec;
  Socket.close(ec);
  Handlers.Closed(shared_from_this(), reason);
}

} // namespace bergamot::adapterpeer
