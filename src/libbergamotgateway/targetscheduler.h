#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETSCHEDULER_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETSCHEDULER_H

#include "libbergamotgateway/competingterms.h"
#include "libbergamotgateway/drainingtargets.h"
#include "libbergamotgateway/groupprogress.h"
#include "libbergamotgateway/groupstreamlimit.h"
#include "libbergamotgateway/loadtracker.h"
#include "libbergamotgateway/rankslowdowns.h"
#include "libbergamotgateway/ratewindow.h"
#include "libbergamotgateway/routetable.h"
#include "libbergamotgateway/slotsharing.h"
#include "libbergamotgateway/targetbackoffs.h"
#include "libbergamotgateway/targetdirectory.h"
#include "libbergamotgateway/targethealth.h"
#include "libbergamotgateway/targetratelimits.h"
#include "libbergamotgateway/targetselection.h"
#include "libbergamotgateway/targetshares.h"
#include "libbergamotgateway/waitpolicy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamot::gateway {

/// Settings of a TargetScheduler.
struct SchedulerSettings {
  /// The name of this entry.
  std::string Name;
  std::string FailureDomain;
  /// When the process started.
  TimePoint StartedAt;
  /// See TargetDirectory.
  base::Duration RemovalGrace{};
  base::Duration DrainBound{};
  base::Duration SilenceBound{};
  /// How long another entry's report is used.
  base::Duration ReportLifetime{};
  /// For which services free slots are divided among the entries.
  Activation ShareSlots = Activation::Auto;
  /// For which services the limit on streams follows the passes of the groups.
  Activation LimitByGroup = Activation::Auto;
  /// For which services the records of the ranks decide whether a group accepts
  /// requests.
  Activation UseGroupRecords = Activation::Auto;
};

/// What the choice of a target depends on in a request.
struct DispatchTerms {
  std::string Service;
  /// The request can't meet its latency objective any more.
  bool IsLate = false;
  /// The request may be sent to a group of which it isn't known whether it
  /// makes progress.
  bool MayProbe = true;
  /// Requests per second that arrive at this entry and are more urgent. Where
  /// slots are shared, some are kept free for them.
  double MoreUrgentPerSecond = 0;
  /// Targets at which an attempt of the request is in progress.
  std::set<std::string> BusyTargets;
  /// Targets at which an attempt of the request has failed. They are chosen
  /// only if no other target is left.
  std::set<std::string> FailedTargets;
};

/// Why a target isn't a candidate for a request.
enum class Exclusion {
  None,
  OtherService,
  /// The target drains or leaves, or its failure domain is evacuated.
  NotUsable,
  Unresponsive,
  /// The target has asked for a back-off, or the entry has used up its share of
  /// the target's request rate.
  RateLimited,
  AttemptInProgress,
  ColdRateExceeded,
  GroupStalled,
};

/// Returns the name of an exclusion for logs and operators.
const char *exclusionName(Exclusion exclusion);

/// The free slots of a service's targets, as far as a request may use them.
struct SlotView {
  /// Whether the slots are divided among the entries at all.
  bool Shared = false;
  /// Free slots by the last reports of all entries.
  std::size_t FreeSlots = 0;
  /// Targets that aren't full but whose next slot is left to other entries.
  std::size_t LeftToOthers = 0;
  /// Slots that are kept free for more urgent requests of all entries.
  double Reserved = 0;
  SlotInterval Interval;
};

/// A decision on where to send a request.
struct Choice {
  /// Null if no target has a free slot for the request.
  const KnownTarget *Target = nullptr;
  SlotClaim Claim = SlotClaim::None;
  SlotView Slots;
};

struct ChoiceExplanation;

/// The limit on concurrent streams at each target of a group, and what it
/// follows from.
struct GroupLimitView {
  std::string Group;
  std::uint32_t Limit = 0;
  /// The limit for the worst skew.
  std::uint32_t Fallback = 0;
  /// The mean number of requests at the targets of the group.
  double RequestsPerTarget = 0;
};

/// A change of whether a group accepts requests, by the records of its ranks.
struct GroupStateChange {
  std::string Group;
  bool Open = false;
  std::size_t Ranks = 0;
  std::size_t OpenRanks = 0;
  std::size_t ClosedRanks = 0;
};

/// What an entry knows of the targets, and what it decides from that: which
/// targets a request may be sent to, how many requests each may have, and which
/// one is chosen. Knows nothing of connections and clocks; every time is passed
/// in.
class TargetScheduler {
public:
  explicit TargetScheduler(const SchedulerSettings &settings);

  /// Applies a configuration.
  void setRouteTable(std::shared_ptr<const RouteTable> table);
  /// Sets the names of the entries that may be running. This entry's own name
  /// may be omitted.
  void setEntryNames(const std::set<std::string> &names);
  /// Adds or replaces a target, see TargetDirectory::setTarget(). Returns the
  /// change of its group's state if the record causes one.
  std::optional<GroupStateChange> setTarget(const TargetRecord &record,
                                            TimePoint now,
                                            TargetDirectory::RecordAge age);
  /// Records that a request was answered by another instance than a target's.
  void recordReplaced(const std::string &target, TimePoint now);
  /// Replaces the last report of another entry.
  void setReport(const std::string &entry, RequestCounts counts, TimePoint now);
  /// Removes expired targets, reports and statements.
  void removeExpired(TimePoint now);
  /// Removes expired reports where slots are shared. Called more often than
  /// removeExpired(), since the slots of an entry that has crashed are idle
  /// until then.
  void removeExpiredReports(TimePoint now);
  /// Discards what has been saved up while the process was suspended.
  void handleSuspension(TimePoint now);

  /// Returns whether new requests may be sent to a target at all.
  bool isUsable(const KnownTarget &target) const;
  /// Returns whether the service has targets and none of them makes progress.
  bool isStalled(const std::string &service, TimePoint now) const;
  /// Returns how many requests of all entries a target may have.
  std::uint32_t requestLimit(const KnownTarget &target, TimePoint now) const;
  /// Returns this entry's equal share of the slots of a service's targets.
  std::size_t slotShare(const std::string &service, TimePoint now) const;
  /// Returns how long a typical stream of a service takes if each target has as
  /// many as the limit for the worst skew permits; 0 if that isn't known.
  base::Duration streamTime(const std::string &service) const;
  /// Returns how many entries are or may be running, including this one.
  unsigned entryCount() const;
  /// Returns whether setEntryNames() has been called.
  bool knowsEntries() const { return EntryNamesSet; }
  /// Adds what the back-offs and the request rates of a service's targets
  /// permit.
  void addTargetLimits(const std::string &service, QueueState &state,
                       TimePoint now);

  /// Returns why a target isn't a candidate for a request, if so.
  Exclusion exclusion(const KnownTarget &target, const DispatchTerms &terms,
                      TimePoint now);
  /// Chooses the target for a request. `draw` in [0, 1) decides between equal
  /// ones.
  Choice choose(const DispatchTerms &terms, double draw, TimePoint now);
  /// Returns what choose() would decide now, and why. Nothing changes: no slot
  /// and no part of a request rate is taken. See targetexplanation.h.
  ChoiceExplanation explain(const DispatchTerms &terms, TimePoint now) const;
  /// Returns this entry's report: its requests in flight, and those that wait
  /// for services whose slots are shared. Records that the others know it.
  RequestCounts
  takeReport(const std::map<std::string, WaitingCounts> &waitingByService);
  /// Returns the services whose slots are divided among the entries.
  const SlotSharing &slotSharing() const { return Sharing; }
  /// Records the time between two events of a stream from a target.
  void recordEventGap(const std::string &target, base::Duration gap,
                      TimePoint now);
  /// Returns the limits of the groups whose limits follow their passes.
  std::vector<GroupLimitView> groupLimits(TimePoint now);
  /// Records that a request is sent to a target.
  void recordDispatch(const KnownTarget &target, TimePoint now);

  TargetDirectory &directory() { return Directory; }
  const TargetDirectory &directory() const { return Directory; }
  LoadTracker &loads() { return Loads; }
  const LoadTracker &loads() const { return Loads; }
  TargetHealth &health() { return Health; }
  DrainingTargets &drainingTargets() { return Draining; }
  TargetBackoffs &backoffs() { return Backoffs; }
  TargetRateLimits &rateLimits() { return RateLimits; }
  const TargetRateLimits &rateLimits() const { return RateLimits; }
  GroupProgress &groups() { return Groups; }
  RankSlowdowns &slowdowns() { return Slowdowns; }

private:
  /// A target that isn't excluded, and the slots at it.
  struct Option {
    const KnownTarget *Target = nullptr;
    SlotCounts Slots;
    double Penalty = 0;
    bool FailedBefore = false;
    /// Own if the slots aren't shared.
    SlotClaim Claim = SlotClaim::Own;
  };

  /// The limit on streams of a service whose limit follows its groups.
  struct EngineLimit {
    EngineProfile Engine;
    std::chrono::milliseconds EventGapObjective{0};
  };
  /// The mean number of requests at the targets of a group.
  struct GroupLoad {
    double RequestsPerTarget = 0;
    TimePoint ExpiresAt;
  };

  /// All options for a request, and those that are eligible.
  struct Decision {
    std::vector<Option> Options;
    SlotView Slots;
    std::vector<Candidate> Candidates;
    /// The index in Options of each candidate.
    std::vector<std::size_t> OptionIndices;
  };

  double requestsPerTarget(const std::string &group, TimePoint now);
  void removeIdleGroups(TimePoint now);
  Option option(const KnownTarget &target, const DispatchTerms &terms,
                TimePoint now) const;
  Candidate candidate(const Option &option) const;
  SlotView applySharing(const DispatchTerms &terms,
                        std::vector<Option> &options, TimePoint now) const;
  SlotTotals slotTotals(const std::string &service, TimePoint now) const;
  Decision decide(const DispatchTerms &terms, TimePoint now);
  ChoiceExplanation explainDecision(const DispatchTerms &terms, TimePoint now);
  TimePoint nextSendAt(const KnownTarget &target, TimePoint now);
  bool isWithinColdRate(const std::string &service, const std::string &target,
                        TimePoint now);
  void updateEntries();
  std::optional<GroupStateChange> updateGroupState(const std::string &group,
                                                   TimePoint now);

  SchedulerSettings Settings;
  std::shared_ptr<const RouteTable> Table;
  std::map<std::string, std::uint32_t> StreamLimits;
  std::map<std::string, EngineLimit> EngineLimits;
  TargetDirectory Directory;
  LoadTracker Loads;
  TargetShares Shares;
  TargetHealth Health;
  DrainingTargets Draining;
  TargetBackoffs Backoffs;
  TargetRateLimits RateLimits;
  GroupProgress Groups;
  RankSlowdowns Slowdowns;
  SlotSharing Sharing;
  GroupStreamLimit GroupLimits;
  std::map<std::string, GroupLoad> LoadByGroup;
  std::set<std::string> ServicesWithGroupRecords;
  /// The groups that don't accept requests by the records of their ranks.
  std::set<std::string> ClosedGroups;
  std::map<std::string, RateWindow> DispatchesByTarget;
  std::set<std::string> EntryNames;
  bool EntryNamesSet = false;
  /// Other entries are heard than when updateEntries() was last called. It
  /// takes time with many entries, so it is called when a request needs it.
  bool EntriesChanged = false;
  /// This entry may not have received a report of each other one yet.
  bool IsStarting = true;
};

} // namespace bergamot::gateway

#endif
