#ifndef BERGAMOT_BERGAMOTD_DAEMON_H
#define BERGAMOT_BERGAMOTD_DAEMON_H

#include "adapterhttp/httpserver.h"
#include "adapterpeer/peernode.h"
#include "bergamotd/activeconfig.h"
#include "bergamotd/auditwriter.h"
#include "bergamotd/configfollower.h"
#include "bergamotd/daemonsettings.h"
#include "libbergamotbase/metrics.h"

#include <concepts>
#include <set>

namespace bergamot::bergamotd {

/// What a daemon needs from the role that it plays.
template <typename T>
concept DaemonRole = requires(T role, const adapterpeer::PeerSessionPtr &peer,
                              wire::Envelope message,
                              const adapterhttp::HttpRequest &http,
                              adapterhttp::HttpResponder &responder) {
  role.addMessage(peer, std::move(message));
  role.sessionOpened(peer);
  role.sessionLost(peer, std::string());
  role.handle(http, responder);
  role.tick();
  role.setDraining();
  { role.endpoints() } -> std::convertible_to<std::set<std::string>>;
  { role.activeCount() } -> std::convertible_to<std::size_t>;
  { role.isReady() } -> std::convertible_to<bool>;
  { role.makeHeartbeat(peer) } -> std::convertible_to<wire::fb::HeartbeatT>;
};

/// What all roles share: the configuration, the connections to other daemons
/// and the HTTP server with health, metrics and status.
template <DaemonRole RoleT> class Daemon {
public:
  /// Makes the role with the shared parts and starts to serve.
  template <typename MakeRole>
  Daemon(const DaemonSettings &settings, base::Incarnation incarnation,
         MakeRole makeRole);

  /// Calls the role's periodic work. Call it about every TickInterval.
  void tick() {
    Role->tick();
    Peers->setPeerEndpoints(Role->endpoints());
  }

  static constexpr std::chrono::milliseconds TickInterval{250};

  /// Stops taking new work after the grace time, waits until the work in
  /// progress is finished or the time is over, and closes all connections.
  void shutDown();

  std::uint16_t httpPort() const { return Http->port(); }
  std::uint16_t peerPort() const { return PeerPort; }

private:
  adapterpeer::PeerHandlers makeHandlers();
  void receive(const adapterpeer::PeerSessionPtr &session,
               wire::Envelope message);
  void serve(const adapterhttp::HttpRequest &http,
             adapterhttp::HttpResponder &responder);
  bool serveAdmin(const adapterhttp::HttpRequest &http,
                  adapterhttp::HttpResponder &responder);
  std::string statusText() const;
  void waitUntilIdle();

  const DaemonSettings Settings;
  const base::Incarnation Incarnation;
  base::Metrics Metrics;
  AuditWriter Audit;
  ConfigStore Store;
  std::unique_ptr<RoleT> Role;
  std::unique_ptr<ConfigFollower> Follower;
  std::unique_ptr<adapterpeer::PeerNode> Peers;
  std::uint16_t PeerPort = 0;
  std::unique_ptr<adapterhttp::HttpServer> Http;
  std::atomic<bool> IsShuttingDown{false};
  std::atomic<std::uint64_t> HeartbeatSequence{0};
};

} // namespace bergamot::bergamotd

#include "bergamotd/daemonimpl.h"

#endif
