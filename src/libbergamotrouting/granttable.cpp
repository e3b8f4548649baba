#include "libbergamotrouting/granttable.h"

#include <algorithm>

namespace bergamot::routing {

namespace {

// Weight of an entry without recent requests. It is above zero, so that the
// entry still receives grants when slots are left over.
constexpr double IdleEntryWeight = 0.05;
constexpr double DemandSmoothing = 0.5;

} // namespace

void GrantTable::addEntry(const VmId &entry) { Entries.try_emplace(entry); }

void GrantTable::removeEntry(const VmId &entry) { Entries.erase(entry); }

void GrantTable::addDemand(const VmId &entry) {
  ++Entries[entry].ArrivedInPeriod;
}

void GrantTable::setWaiting(const VmId &entry, double expectedCount) {
  Entries[entry].Waiting = expectedCount;
}

void GrantTable::updateDemand() {
  for (auto &[entry, state] : Entries) {
    state.Demand = DemandSmoothing * state.Demand +
                   (1 - DemandSmoothing) * state.ArrivedInPeriod;
    state.ArrivedInPeriod = 0;
  }
}

bool GrantTable::hasWaiting() const {
  return std::any_of(Entries.begin(), Entries.end(),
                     [](const auto &it) { return it.second.Waiting > 0; });
}

double GrantTable::demandWeight(const EntryState &state) {
  return state.Demand + state.Waiting + IdleEntryWeight;
}

void GrantTable::removeExpired(TimePoint now) {
  while (!ByExpiry.empty() && ByExpiry.begin()->first <= now)
    remove(Grants.find(ByExpiry.begin()->second));
}

std::optional<Grant> GrantTable::unusedPart(const VmId &entry,
                                            GrantId id) const {
  const auto it = Grants.find(id);
  if (it == Grants.end() || it->second.Entry != entry)
    return std::nullopt;
  return it->second.Remaining;
}

void GrantTable::consume(GrantId id, std::uint64_t units) {
  const auto it = Grants.find(id);
  if (it == Grants.end())
    return;
  Grant &remaining = it->second.Remaining;
  const std::uint64_t consumedUnits = std::min(units, remaining.Units);
  remaining.Units -= consumedUnits;
  remaining.Slots -= 1;
  UnusedUnits -= consumedUnits;
  UnusedSlots -= 1;
  const auto state = Entries.find(it->second.Entry);
  if (state != Entries.end())
    state->second.GrantedSlots -= std::min(1u, state->second.GrantedSlots);
  if (remaining.Slots == 0)
    remove(it);
}

std::vector<EntryGrant>
GrantTable::issue(std::uint32_t slots, std::uint64_t units, TimePoint expiry) {
  std::vector<EntryGrant> issued;
  const auto allocation = divideSlots(slots);
  for (const auto &[entry, count] : allocation) {
    if (count == 0)
      continue;
    const Grant grant{GrantId{++LastId}, count, units / slots * count, expiry};
    ByExpiry.emplace(expiry, grant.Id);
    Grants.emplace(grant.Id, UnusedGrant{entry, grant});
    Entries[entry].GrantedSlots += count;
    UnusedSlots += grant.Slots;
    UnusedUnits += grant.Units;
    issued.push_back({entry, grant});
  }
  return issued;
}

std::vector<std::pair<VmId, std::uint32_t>>
GrantTable::divideSlots(std::uint32_t freeSlots) {
  double total = 0;
  std::uint32_t totalSlots = freeSlots;
  for (const auto &[entry, state] : Entries) {
    total += demandWeight(state);
    totalSlots += state.GrantedSlots;
  }
  // An entry's deficit is its share of all slots less those granted to it.
  // Slots left over by rounding down go to the entries with the largest
  // remainders.
  std::vector<std::pair<double, const VmId *>> deficits;
  double totalDeficit = 0;
  for (const auto &[entry, state] : Entries) {
    const double share = totalSlots * demandWeight(state) / total;
    deficits.emplace_back(std::max(0.0, share - state.GrantedSlots), &entry);
    totalDeficit += deficits.back().first;
  }
  std::vector<std::pair<VmId, std::uint32_t>> allocation;
  if (totalDeficit <= 0)
    return allocation;
  std::uint32_t remaining = freeSlots;
  const double scale = std::min(1.0, freeSlots / totalDeficit);
  for (auto &[deficit, entry] : deficits) {
    const auto wholeSlots =
        std::min(remaining, static_cast<std::uint32_t>(deficit * scale));
    allocation.emplace_back(*entry, wholeSlots);
    remaining -= wholeSlots;
    deficit = deficit * scale - wholeSlots;
  }
  std::vector<std::size_t> order(deficits.size());
  for (std::size_t i = 0; i < order.size(); ++i)
    order[i] = i;
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
    return deficits[a].first > deficits[b].first;
  });
  for (std::size_t i = 0; i < order.size() && remaining > 0; ++i, --remaining)
    ++allocation[order[i]].second;
  return allocation;
}

void GrantTable::remove(std::map<GrantId, UnusedGrant>::iterator it) {
  UnusedSlots -= it->second.Remaining.Slots;
  UnusedUnits -= it->second.Remaining.Units;
  const auto state = Entries.find(it->second.Entry);
  if (state != Entries.end())
    state->second.GrantedSlots -=
        std::min(it->second.Remaining.Slots, state->second.GrantedSlots);
  ByExpiry.erase({it->second.Remaining.Expiry, it->first});
  Grants.erase(it);
}

} // namespace bergamot::routing
