#ifndef BERGAMOT_BERGAMOTD_TARGETTABLE_H
#define BERGAMOT_BERGAMOTD_TARGETTABLE_H

#include "adapterpeer/peersession.h"
#include "bergamotd/activeconfig.h"
#include "libbergamotrouting/outlierdetector.h"
#include "libbergamotrouting/targetselector.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamot::bergamotd {

/// A target chosen for one attempt, or the reason why there is none.
struct TargetChoice {
  base::TargetId Target;
  adapterpeer::PeerSessionPtr Session;
  routing::Selection Selection;
};

/// The sessions of this entry to the targets of its subset, and what the
/// selector knows about them. Thread-safe.
class TargetTable {
public:
  TargetTable(base::FailureDomainId ownDomain, std::uint64_t seed);

  /// Takes the targets of a configuration.
  void applyConfig(const ActiveConfigPtr &active);

  /// Returns the endpoints of the targets that this entry connects to.
  std::set<std::string> endpoints() const;

  void sessionOpened(const adapterpeer::PeerSessionPtr &session);
  void sessionLost(const adapterpeer::PeerSessionPtr &session);

  /// Takes a heartbeat's load or a grant.
  void addMessage(const adapterpeer::PeerSessionPtr &session,
                  const wire::Envelope &message);

  /// Chooses a target of the service for an attempt. Without a choice, the
  /// session is null and the selection names the reason.
  TargetChoice choose(const base::ServiceId &service,
                      const routing::SelectionRequest &request);

  /// Takes the result of an attempt; a target that keeps failing is ejected
  /// for a while.
  void addResult(const base::TargetId &target, bool failed);

  /// Takes back targets whose ejection is over. Call it periodically.
  void tick();

  /// Returns how many targets have an open session.
  std::size_t connectedCount() const;

private:
  struct Known {
    base::TargetId Id;
    adapterpeer::PeerSessionPtr Session;
  };

  void applyEjections(const std::vector<routing::EjectionChange> &changes);
  void addHeartbeat(const Known &known, const wire::Envelope &message,
                    const wire::fb::HeartbeatT &heartbeat);
  void addGrant(const Known &known, const wire::Envelope &message,
                const wire::fb::GrantT &grant);

  mutable std::mutex Mutex;
  std::unordered_map<std::string, Known> ByEndpoint;
  std::unordered_map<base::TargetId, std::string> Endpoints;
  routing::TargetSelector Selector;
  /// One detector per service, as its limit counts the service's targets.
  std::map<base::ServiceId, routing::OutlierDetector> Outliers;
  std::unordered_map<base::TargetId, base::ServiceId> Services;
};

} // namespace bergamot::bergamotd

#endif
