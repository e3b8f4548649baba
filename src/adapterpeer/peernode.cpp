#include "adapterpeer/peernode.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace bergamot::adapterpeer {

using base::Error;
using base::Step;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds InitialBackoff{50};
constexpr std::chrono::milliseconds MaxBackoff{1000};
constexpr std::chrono::milliseconds CloseTimeout{1000};

} // namespace

PeerNode::PeerNode(PeerOptions options, PeerHandlers handlers, int threadCount)
    : Options(std::move(options)), UserHandlers(std::move(handlers)),
      Handlers(UserHandlers),
      Context(std::make_shared<boost::asio::io_context>()),
      WorkGuard(Context->get_executor()), Acceptor(*Context) {
  Handlers.Closed = [this](const PeerSessionPtr &session, const Error &reason) {
    onSessionClosed(session, reason);
  };
  for (int i = 0; i < threadCount; ++i)
    Threads.emplace_back([context = Context] { context->run(); });
}

PeerNode::~PeerNode() { stop(); }

PeerNode::Tcp::endpoint PeerNode::parseEndpoint(const std::string &text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos)
    throw Error(Step::Connect, text, "endpoint has no port");
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[')
    host = host.substr(1, host.size() - 2);
  error_code ec;
  const auto address = boost::asio::ip::make_address(host, ec);
  if (ec)
    throw Error(Step::Connect, text, "endpoint is no IP address and port");
  const auto port = std::strtoul(text.c_str() + colon + 1, nullptr, 10);
  return {address, static_cast<std::uint16_t>(port)};
}

std::uint16_t PeerNode::listen(const std::string &endpoint) {
  const auto address = parseEndpoint(endpoint);
  error_code ec;
  Acceptor.open(address.protocol(), ec);
  if (!ec)
    Acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    Acceptor.bind(address, ec);
  if (!ec)
    Acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec)
    throw Error(Step::Connect, endpoint, "can't listen: " + ec.message());
  const auto port = Acceptor.local_endpoint().port();
  accept();
  return port;
}

void PeerNode::accept() {
  Acceptor.async_accept([this](const error_code &ec, Tcp::socket socket) {
    if (ec)
      return;
    error_code addressError;
    const auto remote = socket.remote_endpoint(addressError);
    if (!addressError) {
      auto session = std::make_shared<PeerSession>(
          Context, std::move(socket), wire::ConnectionRole::Acceptor,
          remote.address().to_string() + ":" + std::to_string(remote.port()),
          Options, Handlers);
      {
        const std::lock_guard lock(Mutex);
        if (IsStopping)
          return;
        Sessions.insert(session);
      }
      session->start();
    }
    accept();
  });
}

void PeerNode::setPeerEndpoints(const std::set<std::string> &endpoints) {
  std::vector<PeerSessionPtr> removed;
  std::vector<std::string> added;
  {
    const std::lock_guard lock(Mutex);
    for (auto it = OutboundPeers.begin(); it != OutboundPeers.end();) {
      if (endpoints.count(it->first) != 0) {
        ++it;
        continue;
      }
      if (it->second.Session)
        removed.push_back(it->second.Session);
      it = OutboundPeers.erase(it);
    }
    for (const auto &endpoint : endpoints)
      if (OutboundPeers.try_emplace(endpoint).second)
        added.push_back(endpoint);
  }
  for (const auto &session : removed)
    session->close(Error(Step::Connect, session->remoteAddress(),
                         "endpoint is no longer configured"));
  for (const auto &endpoint : added)
    connect(endpoint);
}

void PeerNode::connect(const std::string &endpoint) {
  {
    const std::lock_guard lock(Mutex);
    const auto it = OutboundPeers.find(endpoint);
    if (IsStopping || it == OutboundPeers.end() || it->second.IsConnecting ||
        it->second.Session)
      return;
    it->second.IsConnecting = true;
  }
  auto socket = std::make_shared<Tcp::socket>(*Context);
  auto timer = std::make_shared<boost::asio::steady_timer>(*Context);
  timer->expires_after(Options.HandshakeTimeout);
  timer->async_wait([socket](const error_code &ec) {
    error_code ignored;
    if (!ec)
      socket->close(ignored);
  });
  socket->async_connect(parseEndpoint(endpoint),
                        [this, socket, timer, endpoint](const error_code &ec) {
                          timer->cancel();
                          if (ec || !socket->is_open())
                            onConnectFailed(endpoint);
                          else
                            onConnected(endpoint, std::move(*socket));
                        });
}

void PeerNode::onConnected(const std::string &endpoint, Tcp::socket socket) {
  auto session = std::make_shared<PeerSession>(Context, std::move(socket),
                                               wire::ConnectionRole::Initiator,
                                               endpoint, Options, Handlers);
  {
    const std::lock_guard lock(Mutex);
    const auto it = OutboundPeers.find(endpoint);
    if (IsStopping || it == OutboundPeers.end())
      return;
    it->second.IsConnecting = false;
    it->second.Session = session;
    Sessions.insert(session);
  }
  session->start();
}

void PeerNode::onConnectFailed(const std::string &endpoint) {
  {
    const std::lock_guard lock(Mutex);
    const auto it = OutboundPeers.find(endpoint);
    if (it == OutboundPeers.end())
      return;
    it->second.IsConnecting = false;
  }
  scheduleReconnect(endpoint);
}

void PeerNode::scheduleReconnect(const std::string &endpoint) {
  std::chrono::milliseconds wait;
  {
    const std::lock_guard lock(Mutex);
    const auto it = OutboundPeers.find(endpoint);
    if (IsStopping || it == OutboundPeers.end())
      return;
    auto &backoff = it->second.Backoff;
    backoff = std::clamp(backoff * 2, InitialBackoff, MaxBackoff);
    wait = backoff;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(*Context);
  timer->expires_after(wait);
  timer->async_wait([this, timer, endpoint](const error_code &ec) {
    if (!ec)
      connect(endpoint);
  });
}

void PeerNode::onSessionClosed(const PeerSessionPtr &session,
                               const Error &reason) {
  std::string endpoint;
  {
    const std::lock_guard lock(Mutex);
    Sessions.erase(session);
    SessionsChanged.notify_all();
    const auto it = OutboundPeers.find(session->remoteAddress());
    if (it != OutboundPeers.end() && it->second.Session == session) {
      it->second.Session.reset();
      endpoint = it->first;
    }
  }
  UserHandlers.Closed(session, reason);
  if (!endpoint.empty())
    scheduleReconnect(endpoint);
}

void PeerNode::stop() {
  {
    const std::lock_guard lock(Mutex);
    if (std::exchange(IsStopping, true))
      return;
  }
  boost::asio::post(*Context, [this] {
    error_code ec;
    Acceptor.close(ec);
  });
  closeSessions();
  WorkGuard.reset();
  Context->stop();
  for (auto &thread : Threads)
    thread.join();
  // Runs the pending handlers of closed sockets, which own their sessions.
  Context->restart();
  Context->poll();
}

void PeerNode::closeSessions() {
  std::set<PeerSessionPtr> open;
  {
    const std::lock_guard lock(Mutex);
    open = Sessions;
  }
  for (const auto &session : open)
    session->close(Error(Step::Connect, session->remoteAddress(),
                         "this daemon is shutting down"));
  std::unique_lock lock(Mutex);
  SessionsChanged.wait_for(lock, CloseTimeout,
                           [this] { return Sessions.empty(); });
}

} // namespace bergamot::adapterpeer
