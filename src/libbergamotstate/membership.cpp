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
  case MemberState::Displaced:
    return "displaced";
  case MemberState::Unreachable:
    return "unreachable";
  }
  return "";
}

Membership::Membership(MemberLimits limits) : Limits(limits) {}

bool Membership::setVmList(const std::vector<ListedVm> &list,
                           base::WallTime time, base::TimePoint now) {
  if (list.empty() || time < ListTime)
    return false;
  ListTime = time;
  Addresses.clear();
  std::set<base::VmId> names;
  for (const auto &it : list) {
    Member &member = Members[it.Vm];
    // A VM that moved is looked for at its new address.
    if (member.Listed && member.Listed->Address != it.Address)
      member.Displaced = false;
    member.Listed = it;
    names.insert(it.Vm);
    // While a lagging list still has the former user of an address, the
    // address belongs to the one that isn't leaving.
    const auto [place, added] = Addresses.try_emplace(it.Address, it.Vm);
    if (!added && !it.Leaving)
      place->second = it.Vm;
  }
  for (auto &[vm, member] : Members) {
    if (!member.Listed || names.count(vm) != 0)
      continue;
    member.Listed.reset();
    member.UnlistedSince = now;
    if (member.Stated)
      Gone.push_back({vm, member.Stated->Life});
  }
  removeOld(now);
  return true;
}

void Membership::removeOld(base::TimePoint now) {
  std::erase_if(Members, [&](const auto &it) {
    const Member &member = it.second;
    return !member.Listed &&
           now >= member.UnlistedSince + Limits.KeepUnlisted &&
           now >= member.ReachableUntil;
  });
}

void Membership::setRemovedDomains(std::set<base::FailureDomainId> domains) {
  RemovedDomains = std::move(domains);
}

bool Membership::addHeartbeat(const MemberStatement &statement,
                              std::uint64_t sequence, base::TimePoint now) {
  addStatement(statement);
  Member &member = Members[statement.Vm];
  if (statement.Life < member.Stated->Life || sequence <= member.Sequence)
    return false;
  member.Sequence = sequence;
  member.ReachableUntil = now + Limits.SilentAfter;
  member.Displaced = false;
  if (!member.Listed)
    member.UnlistedSince = now;
  return true;
}

bool Membership::addStatement(const MemberStatement &statement) {
  Member &member = Members[statement.Vm];
  auto &stated = member.Stated;
  if (stated && statement.Life < stated->Life)
    return false;
  const bool newLife = !stated || statement.Life > stated->Life;
  if (!newLife && statement.Change <= stated->Change)
    return false;
  if (newLife) {
    if (stated)
      Gone.push_back({statement.Vm, stated->Life});
    // The new incarnation has sent no heartbeat here yet.
    member.Sequence = 0;
    member.ReachableUntil = base::TimePoint::min();
  }
  stated = statement;
  return true;
}

void Membership::setUnreachable(const base::VmId &vm) {
  if (const auto it = Members.find(vm); it != Members.end())
    it->second.ReachableUntil = base::TimePoint::min();
}

void Membership::setAnswer(const base::VmId &expected,
                           const base::VmId &actual) {
  if (const auto it = Members.find(expected); it != Members.end())
    it->second.Displaced = expected != actual;
}

MemberState Membership::stateOf(const Member &member,
                                base::TimePoint now) const {
  if (!member.Listed)
    return MemberState::Unlisted;
  if (member.Listed->Leaving)
    return MemberState::Leaving;
  if (RemovedDomains.count(member.Listed->Domain) != 0)
    return MemberState::DomainRemoved;
  if (member.Stated && member.Stated->Draining)
    return MemberState::Draining;
  if (member.Displaced)
    return MemberState::Displaced;
  return now < member.ReachableUntil ? MemberState::Usable
                                     : MemberState::Unreachable;
}

MemberState Membership::state(const base::VmId &vm, base::TimePoint now) const {
  const auto it = Members.find(vm);
  return it == Members.end() ? MemberState::Unlisted : stateOf(it->second, now);
}

bool Membership::isCurrent(const base::VmId &vm, base::Incarnation life) const {
  const auto it = Members.find(vm);
  return it != Members.end() && it->second.Stated &&
         life >= it->second.Stated->Life;
}

std::optional<MemberStatement>
Membership::statement(const base::VmId &vm) const {
  const auto it = Members.find(vm);
  return it == Members.end() ? std::nullopt : it->second.Stated;
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

std::vector<IncarnationGone> Membership::takeGone() {
  return std::exchange(Gone, {});
}

} // namespace bergamot::state
