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

/// One VM of the platform's list.
struct ListedVm {
  base::VmId Vm;
  std::string Address;
  base::FailureDomainId Domain;
  bool Leaving = false;
};

/// What a daemon states about itself.
struct MemberAnnouncement {
  base::VmId Vm;
  base::Incarnation Incarnation;
  /// Counts the changes of the statement within the incarnation.
  std::uint32_t Revision = 0;
  bool Draining = false;

  bool operator==(const MemberAnnouncement &) const = default;
};

/// Whether a VM may receive new work, and if not, the first reason.
enum class MemberState {
  Usable,
  /// The VM list doesn't name it.
  Unlisted,
  /// The VM list says that it is leaving.
  Leaving,
  /// The configuration has removed its failure domain.
  DomainRemoved,
  /// It says itself that it is shutting down.
  Draining,
  /// Another VM answered at its address.
  Displaced,
  /// No heartbeat arrived in time here.
  Unreachable,
};

/// Returns the name of a state as it stands in logs.
const char *memberStateName(MemberState state);

/// An incarnation that has ended, for ClaimTable::setGone().
struct EndedIncarnation {
  base::VmId Vm;
  base::Incarnation Incarnation;
};

/// Times of a Membership.
struct MemberLimits {
  base::Duration HeartbeatTimeout = std::chrono::seconds(1);
  /// How long a VM that the list no longer names is remembered, so that its
  /// older incarnations are still known as such. Longer than a partition.
  base::Duration UnlistedRetention = std::chrono::hours(2);
};

/// One daemon's view of all VMs. The VM list says which exist and which are
/// leaving; a daemon states its own incarnation and whether it drains; the
/// configuration removes failure domains; reachability is observed here and
/// counts here only. Of these, whichever forbids new work wins.
class Membership {
public:
  explicit Membership(MemberLimits limits = {});

  /// Takes a VM list. Returns false for one that is older than the last, by
  /// the given time of the list, or empty: the absence of the list must remove
  /// no VM.
  bool setVmList(const std::vector<ListedVm> &list, base::WallTime listTime,
                 base::TimePoint now);

  /// Takes the failure domains that the configuration removes.
  void setRemovedDomains(std::set<base::FailureDomainId> domains);

  /// Takes a heartbeat that arrived here, with its number within the
  /// incarnation, from 1. Returns false for one of an older incarnation, or
  /// that is late or repeated.
  bool addHeartbeat(const MemberAnnouncement &announcement,
                    std::uint64_t sequence, base::TimePoint now);

  /// Takes a statement that was forwarded by another daemon. It says nothing
  /// about reachability. Returns whether it was news.
  bool addAnnouncement(const MemberAnnouncement &announcement);

  /// Takes the loss of a connection: the VM is unreachable until its next
  /// heartbeat.
  void setUnreachable(const base::VmId &vm);

  /// Takes the identity that answered at the address of a VM. Another one than
  /// expected means that the address was reused.
  void setAnsweringVm(const base::VmId &expected, const base::VmId &actual);

  /// Returns whether the VM may receive new work.
  MemberState state(const base::VmId &vm, base::TimePoint now) const;

  /// Returns whether frames of this incarnation are to be accepted: none newer
  /// is known. An unknown VM has none.
  bool isCurrent(const base::VmId &vm, base::Incarnation incarnation) const;

  /// Returns what the VM last stated, if anything.
  std::optional<MemberAnnouncement> announcement(const base::VmId &vm) const;

  /// Returns the VM that the list has at an address, if any.
  std::optional<base::VmId> vmAt(const std::string &address) const;

  /// Returns the VMs that may receive new work, in order of their ids.
  std::vector<base::VmId> usable(base::TimePoint now) const;

  /// Returns all VMs that the list names, in order of their ids.
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
    bool Displaced = false;
  };

  MemberState stateOf(const Member &member, base::TimePoint now) const;
  void removeExpired(base::TimePoint now);

  MemberLimits Limits;
  std::map<base::VmId, Member> Members;
  std::map<std::string, base::VmId> Addresses;
  std::set<base::FailureDomainId> RemovedDomains;
  base::WallTime ListTime = base::WallTime::min();
  std::vector<EndedIncarnation> EndedIncarnations;
};

} // namespace bergamot::state

#endif
