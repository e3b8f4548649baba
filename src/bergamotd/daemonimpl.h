#ifndef BERGAMOT_BERGAMOTD_DAEMONIMPL_H
#define BERGAMOT_BERGAMOTD_DAEMONIMPL_H

#include "bergamotd/daemon.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace bergamot::bergamotd {

/// Time to send a short response to an operator or a health check.
inline constexpr std::chrono::seconds AdminResponseTimeout{10};

/// Time in which the audit records that wait are written at shutdown. Enough
/// for an append whose response is lost, its read-back and one repetition.
inline constexpr std::chrono::seconds AuditFlushTimeout{5};

template <DaemonRole RoleT>
template <typename MakeRole>
Daemon<RoleT>::Daemon(const DaemonSettings &settings,
                      base::Incarnation incarnation, MakeRole makeRole)
    : Settings(settings), Incarnation(incarnation),
      Audit(Settings.Vm, Incarnation, Settings.PlatformEndpoint,
            {.MaxUnconfirmedBytes = Settings.AuditBytes}, Metrics),
      Role(makeRole(Store, Metrics, Audit)) {
  Follower = std::make_unique<ConfigFollower>(
      Settings.Vm, Settings.PlatformEndpoint, Store, Audit);
  adapterpeer::PeerOptions options = Settings.Peer;
  options.Self = {Settings.Vm, Incarnation};
  Peers = std::make_unique<adapterpeer::PeerNode>(options, makeHandlers(),
                                                  Settings.PeerThreads);
  Store.addListener([this](const ActiveConfigPtr & /*active*/) {
    Peers->setPeerEndpoints(Role->endpoints());
  });
  PeerPort = Peers->listen(Settings.PeerListen);
  adapterhttp::HttpServerOptions http;
  http.ListenEndpoint = Settings.HttpListen;
  http.WorkerThreads = Settings.HttpThreads;
  http.MaxBodyBytes = Settings.MaxBodyBytes;
  http.RequestTimeout = Settings.RequestTimeout;
  Http = std::make_unique<adapterhttp::HttpServer>(
      http, [this](const adapterhttp::HttpRequest &request,
                   adapterhttp::HttpResponder &responder) {
        serve(request, responder);
      });
  Audit.start();
  Follower->start();
}

template <DaemonRole RoleT>
adapterpeer::PeerHandlers Daemon<RoleT>::makeHandlers() {
  using adapterpeer::PeerSessionPtr;
  adapterpeer::PeerHandlers handlers;
  handlers.Opened = [this](const PeerSessionPtr &session) {
    base::logInfo("peer.opened", {{"peer", session->remoteAddress()},
                                  {"vm", session->peer().Vm.Value}});
    Role->sessionOpened(session);
  };
  handlers.Received = [this](const PeerSessionPtr &session,
                             wire::Envelope message) {
    receive(session, std::move(message));
  };
  handlers.Closed = [this](const PeerSessionPtr &session,
                           const base::Error &reason) {
    base::logInfo("peer.closed", {{"peer", session->remoteAddress()},
                                  {"vm", session->peer().Vm.Value},
                                  {"reason", reason.what()}});
    Role->sessionLost(session, reason.what());
  };
  handlers.MakeHeartbeat = [this](const PeerSessionPtr &session) {
    wire::fb::HeartbeatT heartbeat = Role->makeHeartbeat(session);
    heartbeat.draining = IsShuttingDown;
    heartbeat.sequence = ++HeartbeatSequence;
    return wire::makeEnvelope(std::move(heartbeat));
  };
  handlers.AddMetadata = [this](wire::Envelope &message) {
    message.config_version = Store.version().Value;
    message.incarnation = Incarnation.Value;
  };
  return handlers;
}

template <DaemonRole RoleT>
void Daemon<RoleT>::receive(const adapterpeer::PeerSessionPtr &session,
                            wire::Envelope message) {
  // A message of another life of the peer can't be meant for this session.
  if (message.incarnation != session->peer().Incarnation.Value)
    return;
  if (Follower->addMessage(session, message))
    return;
  Role->addMessage(session, std::move(message));
}

template <DaemonRole RoleT>
void Daemon<RoleT>::serve(const adapterhttp::HttpRequest &http,
                          adapterhttp::HttpResponder &responder) {
  if (!serveAdmin(http, responder))
    Role->handle(http, responder);
}

template <DaemonRole RoleT>
bool Daemon<RoleT>::serveAdmin(const adapterhttp::HttpRequest &http,
                               adapterhttp::HttpResponder &responder) {
  const auto deadline = std::chrono::steady_clock::now() + AdminResponseTimeout;
  if (http.Path == "/healthz") {
    responder.respond(200, {{"Content-Type", "text/plain"}}, "ok\n", deadline);
  } else if (http.Path == "/readyz") {
    const bool isReady = !IsShuttingDown && Role->isReady();
    responder.respond(isReady ? 200 : 503,
                      {{"Content-Type", "application/json"}}, statusText(),
                      deadline);
  } else if (http.Path == "/metrics") {
    responder.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                      Metrics.prometheusText(), deadline);
  } else if (http.Path == "/admin/status") {
    responder.respond(200, {{"Content-Type", "application/json"}}, statusText(),
                      deadline);
  } else {
    return false;
  }
  return true;
}

template <DaemonRole RoleT> std::string Daemon<RoleT>::statusText() const {
  const auto active = Store.active();
  nlohmann::json status = {
      {"vm", Settings.Vm.Value},
      {"role", Settings.Role == bergamotd::Role::Entry ? "entry" : "target"},
      {"incarnation", Incarnation.Value},
      {"ready", !IsShuttingDown && Role->isReady()},
      {"draining", IsShuttingDown.load()},
      {"active", Role->activeCount()},
      {"config_version", Store.version().Value},
      {"config_hash", active ? active->Hash : ""},
      {"in_force_since_ms",
       active ? base::toUnixMilliseconds(active->InForceSince) : 0},
      {"config_source", Follower->sourceText()}};
  return status.dump() + "\n";
}

template <DaemonRole RoleT> void Daemon<RoleT>::waitUntilIdle() {
  const auto deadline =
      std::chrono::steady_clock::now() + Settings.DrainTimeout;
  while (Role->activeCount() > 0 &&
         std::chrono::steady_clock::now() < deadline) {
    Role->tick();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

template <DaemonRole RoleT> void Daemon<RoleT>::shutDown() {
  IsShuttingDown = true;
  base::logInfo("daemon.draining", {{"active", Role->activeCount()}});
  // Callers may still arrive until the balancer has seen /readyz.
  std::this_thread::sleep_for(Settings.DrainGrace);
  Role->setDraining();
  waitUntilIdle();
  base::logInfo("daemon.stopping", {{"active", Role->activeCount()}});
  Http->stop();
  Follower->stop();
  Peers->stop();
  Audit.stop(std::chrono::steady_clock::now() + AuditFlushTimeout);
}

} // namespace bergamot::bergamotd

#endif
