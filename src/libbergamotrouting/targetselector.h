#ifndef BERGAMOT_LIBBERGAMOTROUTING_TARGETSELECTOR_H
#define BERGAMOT_LIBBERGAMOTROUTING_TARGETSELECTOR_H

#include "libbergamotrouting/prefixindex.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace bergamot::routing {

/// Settings of a TargetSelector.
struct SelectorSettings {
  FailureDomainId OwnDomain;
  /// Score factor for targets in another failure domain. It accounts for the
  /// latency of 1.5 ms between domains.
  double OtherDomainFactor = 0.85;
  /// Score factor for targets for which no grant is held: they may refuse the
  /// request, which costs a round trip.
  double NoGrantFactor = 0.3;
  /// A full prefix match multiplies the score by 1 plus this.
  double AffinityWeight = 2;
  std::size_t PrefixCapacity = 65536;
  /// Load reports older than this are no evidence of free capacity.
  Duration LoadStaleAfter = std::chrono::seconds(2);
  /// Retry-after time for clients when no target can take their request.
  Duration RetryAfter = std::chrono::milliseconds(250);
};

/// A target of the entry's subset.
struct SubsetTarget {
  TargetId Id;
  FailureDomainId Domain;
};

/// Load of a target, reported by its daemon at ReportedAt. Draining says that
/// the daemon itself admits no new work. SlotsUsed includes slots that are
/// granted to one entry but not in use yet, as other entries can't use them.
/// SlotLimit is the limit of the warm-up ramp; Warm says that the full limit
/// has been reached.
struct TargetLoad {
  Incarnation DaemonIncarnation;
  std::uint64_t Sequence = 0;
  std::uint32_t SlotsUsed = 0;
  std::uint32_t SlotLimit = 0;
  bool Warm = true;
  bool Draining = false;
  /// Requests are queued for this target at some entry, so the target assigns
  /// every slot by a grant.
  bool Contended = false;
  TimePoint ReportedAt;
};

/// Requirements of a request. PrefixHashes are the hashes of the prefixes of
/// its prompt, shortest first. Tried contains the targets of earlier attempts,
/// which are chosen only if no other target has capacity.
struct SelectionRequest {
  std::uint64_t Units = 0;
  std::span<const std::uint64_t> PrefixHashes;
  std::span<const TargetId> Tried;
};

/// The chosen target, or the reason why there is none.
struct Selection {
  Refusal Reason = Refusal::None;
  TargetId Target;
  std::optional<GrantId> UsedGrant;
  double Score = 0;
  double MatchFraction = 0;
  Duration RetryAfter{};
};

/// Chooses the target of a request at an entry, from two random targets of the
/// entry's subset and the target that caches the longest prompt prefix.
class TargetSelector {
public:
  TargetSelector(const SelectorSettings &settings, std::uint64_t seed);

  /// Replaces the subset of a service. Targets that remain keep their state.
  void setSubset(const ServiceId &service,
                 const std::vector<SubsetTarget> &targets);

  /// Replaces the set of failure domains that operators have removed.
  void setRemovedDomains(std::set<FailureDomainId> domains);

  /// Sets whether the configuration or a list of leaving VMs says that the
  /// target is leaving. TargetLoad::Draining is the target's own statement.
  void setLeaving(const TargetId &target, bool leaving);
  void setReachable(const TargetId &target, bool reachable);
  void setEjected(const TargetId &target, bool ejected);

  /// Records that the target refused a request for lack of capacity. Unless a
  /// grant for it is held, it isn't chosen until retryAt or its next load
  /// report, whichever is first.
  void setRefused(const TargetId &target, TimePoint retryAt);

  /// Applies a load report. Duplicate and older ones are ignored. A new
  /// incarnation of the daemon invalidates the grants from the previous one.
  void setLoad(const TargetId &target, const TargetLoad &load);

  /// Adds a grant. Duplicates and grants of an older incarnation of the daemon
  /// are ignored.
  void addGrant(const TargetId &target, Incarnation daemonIncarnation,
                const Grant &grant);

  void addCacheEvent(const TargetId &target, const CacheEvent &event);

  /// Chooses a target and uses one slot of its grant, if one is held.
  Selection choose(const ServiceId &service, const SelectionRequest &request,
                   TimePoint now);

  /// Records that a request sent to the target has ended, so that its slot
  /// counts as free before the next load report.
  void onRequestFinished(const TargetId &target);

  /// Returns the number of targets of a service that may receive new work.
  std::size_t eligibleCount(const ServiceId &service) const;

private:
  struct Target {
    TargetId Id;
    FailureDomainId Domain;
    TargetLoad Load;
    std::vector<Grant> Grants;
    GrantId LastReceivedGrant;
    /// Requests sent without a grant minus requests ended, both since the last
    /// load report.
    std::int32_t InFlightChange = 0;
    TimePoint RefusedUntil;
    std::uint32_t SubsetCount = 0;
    bool InOwnDomain = false;
    bool HasLoad = false;
    bool Leaving = false;
    bool Reachable = true;
    bool Ejected = false;
    bool Eligible = false;
  };
  struct Service {
    std::vector<TargetIndex> Subset;
    std::vector<TargetIndex> Eligible;
  };
  struct Candidate {
    TargetIndex Index = 0;
    double Score = 0;
    double MatchFraction = 0;
  };

  TargetIndex indexOf(const TargetId &id);
  void rebuildEligible();
  void updateEligible(Target &target);
  bool isTried(const Target &target, const SelectionRequest &request) const;
  static bool hasFreeSlot(const Target &target);
  double score(Target &target, double matchFraction, std::uint64_t units,
               TimePoint now) const;
  double freeFraction(const Target &target, bool hasGrant, TimePoint now) const;
  void updateBest(Candidate &best, TargetIndex index,
                  const PrefixMatch &prefixMatch,
                  const SelectionRequest &request, TimePoint now);
  std::optional<GrantId> takeGrant(Target &target, std::uint64_t units);

  SelectorSettings Settings;
  std::mt19937_64 Generator;
  std::set<FailureDomainId> RemovedDomains;
  std::vector<Target> Targets;
  std::unordered_map<TargetId, TargetIndex> Indexes;
  std::unordered_map<ServiceId, Service> Services;
  PrefixIndex Prefixes;
};

} // namespace bergamot::routing

#endif
