#ifndef BERGAMOT_LIBBERGAMOTSTATE_MEMBERSHIP_H
#define BERGAMOT_LIBBERGAMOTSTATE_MEMBERSHIP_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamot::state {

/// One VM of the platform's VM list.
struct ListedVm {
  base::VmId Vm;
  std::string Address;
  base::FailureDomainId Domain;
  bool Leaving = false;
};

/// What a daemon announces about itself.
struct MemberAnnouncement {
  base::VmId Vm;
  base::Incarnation Incarnation;
  /// Counts the changes of the announcement within the incarnation.
  std::uint32_t Revision = 0;
  bool Draining = false;

  bool operator==(const MemberAnnouncement &) const = default;
};

/// Whether a VM may receive new work, and if not, the first reason that
/// applies, in the order of the enumerators.
enum class MemberState {
  Usable,
  /// The VM isn't in the VM list.
  Unlisted,
  /// The VM list marks it as leaving.
  Leaving,
  /// The configuration has removed its failure domain.
  DomainRemoved,
  /// It announced that it is shutting down.
  Draining,
  /// Another VM answered at its address.
  AddressReused,
  /// This daemon received no heartbeat from it in time.
  Unreachable,
};

/// Returns the name used for the state in logs.
const char *memberStateName(MemberState state);

/// An incarnation that has ended, for ClaimTable::setIncarnationEnded().
struct EndedIncarnation {
  base::VmId Vm;
  base::Incarnation Incarnation;
};

/// Settings of a Membership.
struct MembershipSettings {
  base::Duration HeartbeatTimeout = std::chrono::seconds(1);
  /// How long a VM is remembered after it disappeared from the list, so that
  /// its older incarnations are still recognized as such. Longer than a
  /// partition is expected to last.
  base::Duration UnlistedRetention = std::chrono::hours(2);
};

/// One daemon's view of all VMs. The VM list says which VMs exist and which are
/// leaving. A daemon announces its own incarnation and whether it is draining.
/// The configuration removes failure domains. Reachability is observed by this
/// daemon and applies only to it. A VM receives new work only if none of these
/// forbids it.
class Membership {
public:
  explicit Membership(MembershipSettings settings = {});

  /// Applies a VM list. Returns false and changes nothing if `listTime` is
  /// earlier than that of the last list, or if the list is empty, because a
  /// lost list must not remove any VM.
  bool setVmList(const std::vector<ListedVm> &list, base::WallTime listTime,
                 base::TimePoint now);

  /// Sets the failure domains that the configuration removes.
  void setRemovedDomains(std::set<base::FailureDomainId> domains);

  /// Processes a heartbeat received by this daemon. Its sequence number within
  /// the incarnation starts at 1. Returns false if the heartbeat is from an
  /// older incarnation, out of order or a duplicate.
  bool addHeartbeat(const MemberAnnouncement &announcement,
                    std::uint64_t sequence, base::TimePoint now);

  /// Processes an announcement forwarded by another daemon, which says nothing
  /// about reachability. Returns whether it is newer than the known one.
  bool addAnnouncement(const MemberAnnouncement &announcement);

  /// Records the loss of a connection: the VM is unreachable until its next
  /// heartbeat.
  void setUnreachable(const base::VmId &vm);

  /// Records which VM answered at the address of the expected one. A different
  /// VM means that the address was reused.
  void setAnsweringVm(const base::VmId &expected, const base::VmId &actual);

  /// Returns whether the VM may receive new work.
  MemberState state(const base::VmId &vm, base::TimePoint now) const;

  /// Returns whether messages of this incarnation are to be accepted, i.e.
  /// whether the VM has announced itself and no newer incarnation is known.
  bool isCurrent(const base::VmId &vm, base::Incarnation incarnation) const;

  /// Returns the VM's latest announcement, if any.
  std::optional<MemberAnnouncement> announcement(const base::VmId &vm) const;

  /// Returns the VM at an address according to the list, if any.
  std::optional<base::VmId> vmAt(const std::string &address) const;

  /// Returns the VMs that may receive new work, ordered by id.
  std::vector<base::VmId> usable(base::TimePoint now) const;

  /// Returns all VMs in the list, ordered by id.
  std::vector<base::VmId> listed() const;

  /// Returns the incarnations that ended since the last call.
  std::vector<EndedIncarnation> takeEndedIncarnations();

private:
  struct Member {
    std::optional<ListedVm> Listed;
    std::optional<MemberAnnouncement> Announced;
    std::uint64_t LastSequence = 0;
    base::TimePoint ReachableUntil = base::TimePoint::min();
    base::TimePoint UnlistedSince = base::TimePoint::min();
    bool AddressReused = false;
  };

  MemberState stateOf(const Member &member, base::TimePoint now) const;
  void removeExpired(base::TimePoint now);

  MembershipSettings Settings;
  std::map<base::VmId, Member> Members;
  std::map<std::string, base::VmId> Addresses;
  std::set<base::FailureDomainId> RemovedDomains;
  base::WallTime ListTime = base::WallTime::min();
  std::vector<EndedIncarnation> EndedIncarnations;
};

} // namespace bergamot::state

#endif
