#include "libbergamotstate/membership.h"

#include <utility>

namespace bergamot::state {

const char *memberStateName(MemberState state) {
  switch (state) {
  case MemberState::Usable:
    return "usable";
  case MemberState::Unlisted:
    return "unlisted";
  case MemberState::Leaving:
    return "leaving";
  case MemberState::DomainRemoved:
    return "domain removed";
  case MemberState::Draining:
    return "draining";
  case MemberState::AddressReused:
    return "displaced";
  case MemberState::Unreachable:
    return "unreachable";
  }
  return "";
}

Membership::Membership(MembershipSettings settings) : Settings(settings) {}

bool Membership::setVmList(const std::vector<ListedVm> &list,
                           base::WallTime listTime, base::TimePoint now) {
  if (list.empty() || listTime < ListTime)
    return false;
  ListTime = listTime;
  Addresses.clear();
  std::set<base::VmId> listedVms;
  for (const auto &it : list) {
    Member &member = Members[it.Vm];
    // A VM whose address changed is contacted at its new address.
    if (member.Listed && member.Listed->Address != it.Address)
      member.AddressReused = false;
    member.Listed = it;
    listedVms.insert(it.Vm);
    // While an outdated list still contains the former user of an address, the
    // address belongs to the VM that isn't leaving.
    const auto [entry, added] = Addresses.try_emplace(it.Address, it.Vm);
    if (!added && !it.Leaving)
      entry->second = it.Vm;
  }
  for (auto &[vm, member] : Members) {
    if (!member.Listed || listedVms.count(vm) != 0)
      continue;
    member.Listed.reset();
    member.UnlistedSince = now;
    if (member.Announced)
      EndedIncarnations.push_back({vm, member.Announced->Incarnation});
  }
  removeExpired(now);
  return true;
}

void Membership::removeExpired(base::TimePoint now) {
  std::erase_if(Members, [&](const auto &it) {
    const Member &member = it.second;
    return !member.Listed &&
           now >= member.UnlistedSince + Settings.UnlistedRetention &&
           now >= member.ReachableUntil;
  });
}

void Membership::setRemovedDomains(std::set<base::FailureDomainId> domains) {
  RemovedDomains = std::move(domains);
}

bool Membership::addHeartbeat(const MemberAnnouncement &announcement,
                              std::uint64_t sequence, base::TimePoint now) {
  addAnnouncement(announcement);
  Member &member = Members[announcement.Vm];
  if (announcement.Incarnation < member.Announced->Incarnation ||
      sequence <= member.LastSequence)
    return false;
  member.LastSequence = sequence;
  member.ReachableUntil = now + Settings.HeartbeatTimeout;
  member.AddressReused = false;
  if (!member.Listed)
    member.UnlistedSince = now;
  return true;
}

bool Membership::addAnnouncement(const MemberAnnouncement &announcement) {
  Member &member = Members[announcement.Vm];
  auto &announced = member.Announced;
  if (announced && announcement.Incarnation < announced->Incarnation)
    return false;
  const bool newIncarnation =
      !announced || announcement.Incarnation > announced->Incarnation;
  if (!newIncarnation && announcement.Revision <= announced->Revision)
    return false;
  if (newIncarnation) {
    if (announced)
      EndedIncarnations.push_back({announcement.Vm, announced->Incarnation});
    // The new incarnation has not sent a heartbeat to this daemon yet.
    member.LastSequence = 0;
    member.ReachableUntil = base::TimePoint::min();
  }
  announced = announcement;
  return true;
}

void Membership::setUnreachable(const base::VmId &vm) {
  if (const auto it = Members.find(vm); it != Members.end())
    it->second.ReachableUntil = base::TimePoint::min();
}

void Membership::setAnsweringVm(const base::VmId &expected,
                                const base::VmId &actual) {
  if (const auto it = Members.find(expected); it != Members.end())
    it->second.AddressReused = expected != actual;
}

MemberState Membership::stateOf(const Member &member,
                                base::TimePoint now) const {
  if (!member.Listed)
    return MemberState::Unlisted;
  if (member.Listed->Leaving)
    return MemberState::Leaving;
  if (RemovedDomains.count(member.Listed->Domain) != 0)
    return MemberState::DomainRemoved;
  if (member.Announced && member.Announced->Draining)
    return MemberState::Draining;
  if (member.AddressReused)
    return MemberState::AddressReused;
  return now < member.ReachableUntil ? MemberState::Usable
                                     : MemberState::Unreachable;
}

MemberState Membership::state(const base::VmId &vm, base::TimePoint now) const {
  const auto it = Members.find(vm);
  return it == Members.end() ? MemberState::Unlisted : stateOf(it->second, now);
}

bool Membership::isCurrent(const base::VmId &vm,
                           base::Incarnation incarnation) const {
  const auto it = Members.find(vm);
  return it != Members.end() && it->second.Announced &&
         incarnation >= it->second.Announced->Incarnation;
}

std::optional<MemberAnnouncement>
Membership::announcement(const base::VmId &vm) const {
  const auto it = Members.find(vm);
  return it == Members.end() ? std::nullopt : it->second.Announced;
}

std::optional<base::VmId> Membership::vmAt(const std::string &address) const {
  const auto it = Addresses.find(address);
  return it == Addresses.end() ? std::nullopt : std::optional(it->second);
}

std::vector<base::VmId> Membership::usable(base::TimePoint now) const {
  std::vector<base::VmId> found;
  for (const auto &[vm, member] : Members)
    if (stateOf(member, now) == MemberState::Usable)
      found.push_back(vm);
  return found;
}

std::vector<base::VmId> Membership::listed() const {
  std::vector<base::VmId> found;
  for (const auto &[vm, member] : Members)
    if (member.Listed)
      found.push_back(vm);
  return found;
}

std::vector<EndedIncarnation> Membership::takeEndedIncarnations() {
  return std::exchange(EndedIncarnations, {});
}

} // namespace bergamot::state
