#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETDIRECTORY_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETDIRECTORY_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamot::gateway {

using base::TimePoint;

/// A target's membership in a group of ranks.
struct GroupMembership {
  std::string Group;
  std::uint32_t Rank = 0;
  std::uint32_t GroupSize = 0;
  /// The group has formed and accepts requests.
  bool Open = false;

  bool operator==(const GroupMembership &) const = default;
};

/// A target's record in the store, as published by the target.
struct TargetRecord {
  std::string Id;
  std::string Service;
  /// Address and port.
  std::string Address;
  std::string FailureDomain;
  /// Number of requests that the target runs concurrently.
  std::uint32_t Slots = 1;
  bool Draining = false;
  /// Start time reported by the target; distinguishes restarts under the same
  /// id.
  std::int64_t StartedAtMs = 0;
  /// How long the target stays cold, counted from when the record is read.
  std::chrono::milliseconds ColdRemaining{0};
  /// Unset for targets without expert groups.
  std::optional<GroupMembership> Membership;

  bool operator==(const TargetRecord &) const = default;
};

/// A target in the directory.
struct KnownTarget {
  TargetRecord Record;
  /// The target can handle little load before this time.
  TimePoint ColdUntil;
  /// Set if the record disappeared during or shortly after an outage of the
  /// store: the target is removed at this time unless its record reappears.
  std::optional<TimePoint> RemoveAt;
};

/// How a removed record was seen.
struct RecordRemoval {
  /// False if the record may merely have expired, because the store was
  /// unreachable at the time of the removal or shortly before it.
  bool Reliable = true;
  /// The record was still in the store at this time, so the store acknowledged
  /// the removal later.
  TimePoint PresentAt;
  /// When the store became reachable again after the last outage; unset while
  /// it is unreachable.
  std::optional<TimePoint> ReachableSince;
};

/// The targets of all services as listed in the platform's store, and the
/// failure domains that operators have evacuated. Records expire during an
/// outage of the store although the targets are still running, so a removal
/// seen during or shortly after an outage takes effect only after a grace
/// period. The grace period counts from the store's return. It is cut short if
/// the removal may be the target's own and a bound would be exceeded: the drain
/// bound, or the time by which an entry has to keep it again whose connections
/// to the store had gone silent.
class TargetDirectory {
public:
  /// `removalGrace` is how long after an outage running targets may take to
  /// register again; `drainBound` is how long after the acknowledgement of its
  /// removal a target may still be used; `silenceBound` is how long after its
  /// connections have gone silent an entry may exceed that.
  TargetDirectory(base::Duration removalGrace, base::Duration drainBound,
                  base::Duration silenceBound)
      : RemovalGrace(removalGrace), DrainBound(drainBound),
        SilenceBound(silenceBound) {}

  /// How a record may relate to one that was seen before.
  enum class RecordAge {
    Current,
    /// The store has just been restored from an older copy, so the record may
    /// be older than the one before it.
    MaybeOlder,
  };

  /// Adds or replaces a target. A target that drains doesn't become usable by a
  /// record that may be older.
  void setTarget(const TargetRecord &record, TimePoint now,
                 RecordAge age = RecordAge::Current);
  /// Removes a target whose record is gone.
  void removeTarget(const std::string &id, const RecordRemoval &removal,
                    TimePoint now);
  /// Removes targets whose grace period has ended.
  void removeExpiredTargets(TimePoint now);
  /// Removes a target whose address has been taken over by another target.
  void removeReplacedTarget(const std::string &id);
  /// Records that a target is cold until a time, as stated in a response.
  void setColdUntil(const std::string &id, TimePoint until);

  void setEvacuated(const std::string &failureDomain, bool evacuated);
  bool isEvacuated(const std::string &failureDomain) const {
    return EvacuatedFailureDomains.contains(failureDomain);
  }

  /// Returns whether new work may be sent to a target.
  bool isUsable(const KnownTarget &target) const {
    return !target.Record.Draining && !isEvacuated(target.Record.FailureDomain);
  }
  const std::map<std::string, KnownTarget> &targets() const { return Targets; }
  const KnownTarget *target(const std::string &id) const;

private:
  TimePoint removalDeadline(const RecordRemoval &removal, TimePoint now) const;

  base::Duration RemovalGrace;
  base::Duration DrainBound;
  base::Duration SilenceBound;
  std::map<std::string, KnownTarget> Targets;
  std::set<std::string> EvacuatedFailureDomains;
};

} // namespace bergamot::gateway

#endif
