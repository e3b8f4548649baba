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

/// A target's place in a group of ranks.
struct GroupMembership {
  std::string Group;
  std::uint32_t Rank = 0;
  std::uint32_t GroupSize = 0;
  bool Open = false;

  bool operator==(const GroupMembership &) const = default;
};

/// What a target says of itself.
struct TargetRecord {
  std::string Id;
  std::string Service;
  /// Address and port.
  std::string Address;
  std::string Domain;
  std::uint32_t Slots = 1;
  bool Draining = false;
  /// When the target started, as it says; tells restarts under one id apart.
  std::int64_t StartedAtMs = 0;
  std::chrono::milliseconds ColdFor{0};
  /// Unset for targets without expert groups.
  std::optional<GroupMembership> Membership;

  bool operator==(const TargetRecord &) const = default;
};

/// A target that the directory knows.
struct KnownTarget {
  TargetRecord Record;
  /// The target bears little load before this time.
  TimePoint ColdUntil;
  /// Its record went away while the list couldn't be trusted; the target is
  /// used until this time unless the record returns.
  std::optional<TimePoint> RemoveAt;
};

/// The targets of all services as the platform's list shows them, and the
/// failure domains that operators have taken out. The list's records lapse
/// when the platform's store has been away, though the targets live on: a
/// removal seen during an outage or shortly after it takes effect only after
/// a grace period.
class TargetDirectory {
public:
  /// `lapseGrace` is the time after an outage within which the records of
  /// live targets are back.
  explicit TargetDirectory(base::Duration removalGrace)
      : RemovalGrace(removalGrace) {}

  /// Adds or replaces a target.
  void setTarget(const TargetRecord &record, TimePoint now);
  /// Removes a target whose record is gone. `reliable` is false if the store
  /// has been away up to or shortly before the removal.
  void removeTarget(const std::string &id, bool reliable, TimePoint now);
  /// Removes all targets that are not among `ids`, after a full read.
  void retainOnly(const std::set<std::string> &ids, bool reliable,
                  TimePoint now);
  /// Removes the targets whose grace period is over.
  void removeExpiredTargets(TimePoint now);
  /// Removes a target that another one has replaced at its address.
  void removeReplaced(const std::string &id);
  /// Records that a target is cold until a time, as it said in a response.
  void setColdUntil(const std::string &id, TimePoint until);

  void setEvacuated(const std::string &domain, bool evacuated);
  bool isEvacuated(const std::string &domain) const {
    return EvacuatedDomains.contains(domain);
  }

  /// Returns whether new work may be sent to a target.
  bool isUsable(const KnownTarget &target) const {
    return !target.Record.Draining && !isEvacuated(target.Record.Domain);
  }
  const std::map<std::string, KnownTarget> &targets() const { return Targets; }
  const KnownTarget *target(const std::string &id) const;

private:
  base::Duration RemovalGrace;
  std::map<std::string, KnownTarget> Targets;
  std::set<std::string> EvacuatedDomains;
};

} // namespace bergamot::gateway

#endif
