#ifndef BERGAMOT_ADAPTERPEER_PEERNODE_H
#define BERGAMOT_ADAPTERPEER_PEERNODE_H

#include "adapterpeer/peersession.h"

#include <boost/asio/executor_work_guard.hpp>

#include <condition_variable>
#include <map>
#include <set>
#include <thread>
#include <vector>

namespace bergamot::adapterpeer {

/// Manages the connections of a daemon to its peers: accepts connections, keeps
/// one connection to each configured endpoint, and reconnects with backoff when
/// one fails or times out. Thread-safe. Lock order: Mutex before a session's
/// SendMutex.
class PeerNode {
public:
  PeerNode(PeerOptions options, PeerHandlers handlers, int threadCount);
  ~PeerNode();
  PeerNode(const PeerNode &) = delete;
  PeerNode &operator=(const PeerNode &) = delete;

  /// Starts accepting connections on "ip:port"; with port 0, the system chooses
  /// one. Returns the port. Throws Error if listening fails.
  std::uint16_t listen(const std::string &endpoint);

  /// Sets the endpoints to stay connected to. Closes connections that this node
  /// opened to other endpoints; accepted connections stay open.
  void setPeerEndpoints(const std::set<std::string> &endpoints);

  /// Closes all sessions and joins the threads.
  void stop();

private:
  using Tcp = boost::asio::ip::tcp;

  struct OutboundPeer {
    PeerSessionPtr Session;
    std::chrono::milliseconds Backoff{0};
    bool IsConnecting = false;
  };

  void accept();
  void connect(const std::string &endpoint);
  void onConnected(const std::string &endpoint, Tcp::socket socket);
  void onConnectFailed(const std::string &endpoint);
  void scheduleReconnect(const std::string &endpoint);
  void onSessionClosed(const PeerSessionPtr &session,
                       const base::Error &reason);
  void closeSessions();
  static Tcp::endpoint parseEndpoint(const std::string &text);

  const PeerOptions Options;
  const PeerHandlers UserHandlers;
  PeerHandlers Handlers;
  /// Shared with the sessions, which may outlive the node.
  std::shared_ptr<boost::asio::io_context> Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard;
  Tcp::acceptor Acceptor;
  std::vector<std::thread> Threads;

  std::mutex Mutex;
  std::map<std::string, OutboundPeer> OutboundPeers;
  std::set<PeerSessionPtr> Sessions;
  std::condition_variable SessionsChanged;
  bool IsStopping = false;
};

} // namespace bergamot::adapterpeer

#endif
