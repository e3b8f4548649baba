#include "libbergamotrouting/granttable.h"

#include <algorithm>

namespace bergamot::routing {

namespace {

// Weight of an entry without recent requests. It is above zero so that such
// an entry still receives grants when slots are left over.
constexpr double IdleDemand = 0.05;
constexpr double DemandSmoothing = 0.5;

} // namespace

void GrantTable::addEntry(const VmId &entry) { Holders.try_emplace(entry); }

void GrantTable::removeEntry(const VmId &entry) { Holders.erase(entry); }

void GrantTable::addDemand(const VmId &entry) { ++Holders[entry].Arrived; }

void GrantTable::setWaiting(const VmId &entry, double count) {
  Holders[entry].Waiting = count;
}

void GrantTable::updateDemand() {
  for (auto &[entry, holder] : Holders) {
    holder.Demand = DemandSmoothing * holder.Demand +
                    (1 - DemandSmoothing) * holder.Arrived;
    holder.Arrived = 0;
  }
}

bool GrantTable::hasWaiting() const {
  return std::any_of(Holders.begin(), Holders.end(),
                     [](const auto &it) { return it.second.Waiting > 0; });
}

double GrantTable::weightOf(const Holder &holder) {
  return holder.Demand + holder.Waiting + IdleDemand;
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
  return it->second.Left;
}

void GrantTable::removeUsed(GrantId id, std::uint64_t units) {
  const auto it = Grants.find(id);
  if (it == Grants.end())
    return;
  Grant &left = it->second.Left;
  const std::uint64_t taken = std::min(units, left.Units);
  left.Units -= taken;
  left.Slots -= 1;
  UnusedUnits -= taken;
  UnusedSlots -= 1;
  const auto holder = Holders.find(it->second.Entry);
  if (holder != Holders.end())
    holder->second.HeldSlots -= std::min(1u, holder->second.HeldSlots);
  if (left.Slots == 0)
    remove(it);
}

std::vector<EntryGrant>
GrantTable::issue(std::uint32_t slots, std::uint64_t units, TimePoint expiry) {
  std::vector<EntryGrant> issued;
  const auto shares = slotsByDemand(slots);
  for (const auto &[entry, count] : shares) {
    if (count == 0)
      continue;
    const Grant grant{GrantId{++LastId}, count, units / slots * count, expiry};
    ByExpiry.emplace(expiry, grant.Id);
    Grants.emplace(grant.Id, Issued{entry, grant});
    Holders[entry].HeldSlots += count;
    UnusedSlots += grant.Slots;
    UnusedUnits += grant.Units;
    issued.push_back({entry, grant});
  }
  return issued;
}

std::vector<std::pair<VmId, std::uint32_t>>
GrantTable::slotsByDemand(std::uint32_t free) {
  double total = 0;
  std::uint32_t pool = free;
  for (const auto &[entry, holder] : Holders) {
    total += weightOf(holder);
    pool += holder.HeldSlots;
  }
  // Each entry's due part of the pool, less what it holds. The largest
  // fractions receive the slots that rounding leaves.
  std::vector<std::pair<double, const VmId *>> wants;
  double missing = 0;
  for (const auto &[entry, holder] : Holders) {
    const double due = pool * weightOf(holder) / total;
    wants.emplace_back(std::max(0.0, due - holder.HeldSlots), &entry);
    missing += wants.back().first;
  }
  std::vector<std::pair<VmId, std::uint32_t>> shares;
  if (missing <= 0)
    return shares;
  std::uint32_t left = free;
  const double scale = std::min(1.0, free / missing);
  for (auto &[want, entry] : wants) {
    const auto whole = std::min(left, static_cast<std::uint32_t>(want * scale));
    shares.emplace_back(*entry, whole);
    left -= whole;
    want = want * scale - whole;
  }
  std::vector<std::size_t> order(wants.size());
  for (std::size_t i = 0; i < order.size(); ++i)
    order[i] = i;
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
    return wants[a].first > wants[b].first;
  });
  for (std::size_t i = 0; i < order.size() && left > 0; ++i, --left)
    ++shares[order[i]].second;
  return shares;
}

void GrantTable::remove(std::map<GrantId, Issued>::iterator it) {
  UnusedSlots -= it->second.Left.Slots;
  UnusedUnits -= it->second.Left.Units;
  const auto holder = Holders.find(it->second.Entry);
  if (holder != Holders.end())
    holder->second.HeldSlots -=
        std::min(it->second.Left.Slots, holder->second.HeldSlots);
  ByExpiry.erase({it->second.Left.Expiry, it->first});
  Grants.erase(it);
}

} // namespace bergamot::routing
