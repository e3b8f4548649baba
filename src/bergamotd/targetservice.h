#ifndef BERGAMOT_BERGAMOTD_TARGETSERVICE_H
#define BERGAMOT_BERGAMOTD_TARGETSERVICE_H

#include "adapterhttp/httpresponder.h"
#include "bergamotd/activeconfig.h"
#include "bergamotd/auditwriter.h"
#include "bergamotd/loadprobe.h"
#include "bergamotd/targetjob.h"
#include "bergamotd/workerpool.h"
#include "libbergamotbase/metrics.h"
#include "libbergamotrouting/targetadmission.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace bergamot::bergamotd {

/// Settings of a TargetService.
struct TargetOptions {
  base::TargetId Target;
  std::string BackEndEndpoint;
  int WorkerThreads = 64;
  std::chrono::milliseconds LoadPollInterval{250};
  JobSettings Job;
};

/// What the configuration says about the target's service. A target that the
/// configuration doesn't name is leaving.
struct TargetState {
  bool IsDomainRemoved = false;
  bool IsLeaving = false;

  bool operator==(const TargetState &) const = default;
};

/// The target role: admits dispatched attempts, runs them at the back end and
/// reports the back end's load. Lock order: AdmissionMutex, then JobsMutex,
/// then a job's own lock.
class TargetService {
public:
  TargetService(TargetOptions options, ConfigStore &store,
                base::Metrics &metrics, AuditWriter &audit);
  ~TargetService();

  /// Takes a message of an entry. Must not block; called by network threads.
  void addMessage(const adapterpeer::PeerSessionPtr &session,
                  wire::Envelope message);

  void sessionOpened(const adapterpeer::PeerSessionPtr &session);

  /// Cancels the resumable work of an entry whose session is lost.
  void sessionLost(const adapterpeer::PeerSessionPtr &session,
                   const std::string &detail);

  /// Answers requests that aren't for the target daemon: callers use entries.
  void handle(const adapterhttp::HttpRequest &http,
              adapterhttp::HttpResponder &responder);

  /// Returns a heartbeat with the present load.
  wire::fb::HeartbeatT
  makeHeartbeat(const adapterpeer::PeerSessionPtr &session) const;

  /// Sends grants for the coming period to the entries that are connected.
  void tick();

  /// Returns no endpoint: entries connect to targets.
  std::set<std::string> endpoints() const { return {}; }

  /// Refuses new work from now on.
  void setDraining();

  /// Returns how many attempts run or wait for a worker.
  std::size_t activeCount() const;

  /// Returns whether the back end has answered and a configuration names
  /// this target.
  bool isReady() const;

private:
  void applyConfig(const ActiveConfigPtr &active);
  void recordState(base::ConfigVersion version, const TargetState &now);
  void startDispatch(const adapterpeer::PeerSessionPtr &session,
                     wire::Envelope message);
  routing::AdmissionVerdict admit(const TargetJob &job,
                                  const adapterpeer::PeerSessionPtr &session);
  void refuse(const TargetJob &job, const routing::AdmissionVerdict &verdict);
  void runJob(const std::shared_ptr<TargetJob> &job);
  void finishJob(const TargetJob &job, const JobResult &result);
  wire::fb::TargetLoadT load() const;
  void sendGrants(const std::vector<routing::EntryGrant> &grants,
                  base::TimePoint now);
  void logRamp(routing::RampChange change);
  void addReport(const routing::LoadReport &report);
  void setBackEndDown(const std::string &detail);

  const TargetOptions Options;
  ConfigStore &Store;
  base::Metrics &Metrics;
  AuditWriter &Audit;
  adapterhttp::HttpClient BackEnd;

  mutable std::mutex AdmissionMutex;
  std::optional<routing::TargetAdmission> Admission;
  std::uint32_t SlotsLimit = 0;
  std::uint64_t UnitsLimit = 0;
  routing::LoadReport Report;
  bool WasCold = false;
  bool IsBackEndUp = false;
  bool IsDraining = false;
  TargetState LastState;

  mutable std::mutex JobsMutex;
  std::set<adapterpeer::PeerSessionPtr> Sessions;
  std::map<routing::AttemptKey, std::shared_ptr<TargetJob>> Jobs;

  WorkerPool Workers;
  LoadProbe Probe;
};

} // namespace bergamot::bergamotd

#endif
