#ifndef BERGAMOT_LIBBERGAMOTROUTING_GRANTTABLE_H
#define BERGAMOT_LIBBERGAMOTROUTING_GRANTTABLE_H

#include "libbergamotrouting/routingtypes.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bergamot::routing {

/// A grant and the entry it goes to.
struct EntryGrant {
  VmId Entry;
  Grant Issued;
};

/// Grants of one target that have neither expired nor been used up, and the
/// recent demand of each entry. Grants can't be recalled: what was issued
/// counts as taken until its expiry.
class GrantTable {
public:
  /// Makes an entry known, which lets it receive grants before its first
  /// request. Demand of an unknown entry also makes it known.
  void addEntry(const VmId &entry);

  /// Forgets an entry; its grants stay until they expire.
  void removeEntry(const VmId &entry);

  /// Counts one request of an entry, whether or not it was admitted.
  void addDemand(const VmId &entry);

  /// Sets how many requests wait at an entry for this target.
  void setWaiting(const VmId &entry, double count);

  /// Ends a period of demand. Call it at each heartbeat.
  void updateDemand();

  /// Says whether any entry has requests waiting.
  bool hasWaiting() const;

  /// Drops the grants that have expired.
  void removeExpired(TimePoint now);

  /// Returns the unused part of a grant of the entry, or nothing if it has
  /// expired or was never issued to it.
  std::optional<Grant> unusedPart(const VmId &entry, GrantId id) const;

  /// Takes one slot and the units from a grant, at most what is left of it.
  void removeUsed(GrantId id, std::uint64_t units);

  /// Divides slots and units over the known entries by recent demand, less
  /// what each already holds, and records the grants with their expiry.
  std::vector<EntryGrant> issue(std::uint32_t slots, std::uint64_t units,
                                TimePoint expiry);

  std::uint32_t unusedSlots() const { return UnusedSlots; }
  std::uint64_t unusedUnits() const { return UnusedUnits; }

private:
  struct Holder {
    double Demand = 0;
    double Waiting = 0;
    std::uint32_t Arrived = 0;
    std::uint32_t HeldSlots = 0;
  };
  struct Issued {
    VmId Entry;
    Grant Left;
  };

  static double weightOf(const Holder &holder);
  std::vector<std::pair<VmId, std::uint32_t>> slotsByDemand(std::uint32_t free);
  void remove(std::map<GrantId, Issued>::iterator it);

  std::map<VmId, Holder> Holders;
  std::map<GrantId, Issued> Grants;
  std::set<std::pair<TimePoint, GrantId>> ByExpiry;
  std::uint64_t LastId = 0;
  std::uint32_t UnusedSlots = 0;
  std::uint64_t UnusedUnits = 0;
};

} // namespace bergamot::routing

#endif
