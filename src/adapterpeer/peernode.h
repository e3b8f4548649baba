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

/// The network side of a daemon towards other daemons: it listens, keeps a
/// connection to each wanted endpoint, and replaces connections that fail or
/// go silent. Thread-safe. Lock order: Mutex before a session's SendMutex.
class PeerNode {
public:
  PeerNode(PeerOptions options, PeerHandlers handlers, int threadCount);
  ~PeerNode();
  PeerNode(const PeerNode &) = delete;
  PeerNode &operator=(const PeerNode &) = delete;

  /// Starts to accept connections on "ip:port"; port 0 picks one. Returns the
  /// port. Throws Error if the endpoint can't be used.
  std::uint16_t listen(const std::string &endpoint);

  /// Sets the endpoints to stay connected to. Connections to others that
  /// this daemon opened are closed.
  void setPeerEndpoints(const std::set<std::string> &endpoints);

  /// Closes everything and joins the threads.
  void stop();

private:
  using Tcp = boost::asio::ip::tcp;

  struct Wanted {
    PeerSessionPtr Session;
    std::chrono::milliseconds Backoff{0};
    bool IsConnecting = false;
  };

  void accept();
  void connect(const std::string &endpoint);
  void connected(const std::string &endpoint, Tcp::socket socket);
  void connectFailed(const std::string &endpoint);
  void reconnectLater(const std::string &endpoint);
  void sessionClosed(const PeerSessionPtr &session, const base::Error &reason);
  void closeSessions();
  static Tcp::endpoint parseEndpoint(const std::string &text);

  const PeerOptions Options;
  const PeerHandlers UserHandlers;
  PeerHandlers Handlers;
  /// Shared with the sessions, which may outlive the node.
  std::shared_ptr<boost::asio::io_context> Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  Tcp::acceptor Acceptor;
  std::vector<std::thread> Threads;

  std::mutex Mutex;
  std::map<std::string, Wanted> WantedByEndpoint;
  std::set<PeerSessionPtr> Sessions;
  std::condition_variable SessionsChanged;
  bool IsStopping = false;
};

} // namespace bergamot::adapterpeer

#endif
