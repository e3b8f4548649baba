#ifndef BERGAMOT_BERGAMOTD_ENTRYSERVICE_H
#define BERGAMOT_BERGAMOTD_ENTRYSERVICE_H

#include "adapterhttp/httpserver.h"
#include "bergamotd/callrunner.h"
#include "bergamotd/claimedcall.h"
#include "bergamotd/claimservice.h"
#include "bergamotd/quotaexchange.h"
#include "bergamotd/vmfollower.h"

#include <atomic>

namespace bergamot::bergamotd {

/// Settings of an EntryService.
struct EntryOptions {
  base::VmId Vm;
  base::Incarnation Incarnation;
  base::FailureDomainId Domain;
  CallerLimits Limits;
  std::string PlatformEndpoint;
  /// Memory for the bodies of all answers in progress.
  std::size_t AnswerBytes = 0;
  /// A reader that takes nothing for this long may be parked.
  std::chrono::milliseconds StallTime{};
};

/// The entry role: serves callers by sending their requests to targets.
class EntryService {
public:
  EntryService(EntryOptions options, ConfigStore &store, base::Metrics &metrics,
               AuditWriter &audit);

  /// Serves one request of a caller on a worker thread of the HTTP server.
  void handle(const adapterhttp::HttpRequest &http,
              adapterhttp::HttpResponder &responder);

  /// Takes a message of a target. Must not block; called by network threads.
  void addMessage(const adapterpeer::PeerSessionPtr &session,
                  const wire::Envelope &message);

  void sessionOpened(const adapterpeer::PeerSessionPtr &session);
  void sessionLost(const adapterpeer::PeerSessionPtr &session,
                   const std::string &detail);

  /// Returns the endpoints of targets and entries to connect to.
  std::set<std::string> endpoints() const;

  /// Returns a heartbeat with the calls that wait for the session's target.
  wire::fb::HeartbeatT
  makeHeartbeat(const adapterpeer::PeerSessionPtr &session) const;

  /// Does periodic work.
  void tick();

  /// Refuses new requests from now on.
  void setDraining() { IsDraining = true; }

  /// Returns how many calls are being served.
  std::size_t activeCount() const { return Active.load(); }

  /// Returns whether a configuration is in force and a target is connected.
  bool isReady() const;

private:
  void handleCall(const adapterhttp::HttpRequest &http,
                  adapterhttp::HttpResponder &responder);
  void listModels(const adapterhttp::HttpRequest &http,
                  adapterhttp::HttpResponder &responder) const;
  void runCall(const CallerRequest &call, adapterhttp::HttpResponder &responder,
               base::TimePoint started);
  CallResult runClaimed(CallRunner &runner, ClaimedCall &claimed);
  void logDone(const CallerRequest &call, const CallResult &result,
               base::TimePoint started);
  ActiveConfigPtr requireConfig() const;
  base::RequestId nextRequestId();

  const EntryOptions Options;
  ConfigStore &Store;
  base::Metrics &Metrics;
  AuditWriter &Audit;
  TargetTable Targets;
  RequestTable Requests;
  AnswerMemory Memory;
  WaitingRoom Room;
  RetryGate Retries;
  ClaimService Claims;
  QuotaExchange Quota;
  VmFollower Vms;
  std::atomic<std::uint64_t> LastRequest{0};
  std::atomic<std::size_t> Active{0};
  std::atomic<bool> IsDraining{false};
};

} // namespace bergamot::bergamotd

#endif
