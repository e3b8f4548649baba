#ifndef BERGAMOT_LIBBERGAMOTROUTING_GRANTTABLE_H
#define BERGAMOT_LIBBERGAMOTROUTING_GRANTTABLE_H

#include "libbergamotrouting/routingtypes.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bergamot::routing {

/// A grant and the entry that it is issued to.
struct EntryGrant {
  VmId Entry;
  Grant IssuedGrant;
};

/// One target's grants that are neither expired nor used up, and the recent
/// demand of each entry. Grants can't be revoked: issued capacity counts as
/// taken until the grant expires.
class GrantTable {
public:
  /// Adds an entry, so that it can receive grants before its first request.
  /// addDemand() and setWaiting() also add the entry if it is unknown.
  void addEntry(const VmId &entry);

  /// Removes an entry. Its grants remain until they expire.
  void removeEntry(const VmId &entry);

  /// Counts one request of an entry, whether or not it was admitted.
  void addDemand(const VmId &entry);

  /// Sets the number of queued requests that an entry is expected to send to
  /// this target. It may be fractional, since requests that several targets can
  /// take are divided among these.
  void setWaiting(const VmId &entry, double expectedCount);

  /// Ends a demand measurement period. Call it at each heartbeat.
  void updateDemand();

  /// Returns whether any entry has queued requests.
  bool hasWaiting() const;

  /// Removes the grants that have expired.
  void removeExpired(TimePoint now);

  /// Returns the unused part of a grant. Empty if the grant has expired or
  /// wasn't issued to the entry.
  std::optional<Grant> unusedPart(const VmId &entry, GrantId id) const;

  /// Uses one slot and up to the given number of units of a grant.
  void consume(GrantId id, std::uint64_t units);

  /// Divides slots and units among the entries in proportion to their recent
  /// demand and records the resulting grants. Slots that an entry already holds
  /// count towards its share.
  std::vector<EntryGrant> issue(std::uint32_t slots, std::uint64_t units,
                                TimePoint expiry);

  std::uint32_t unusedSlots() const { return UnusedSlots; }
  std::uint64_t unusedUnits() const { return UnusedUnits; }

private:
  struct EntryState {
    double Demand = 0;
    double Waiting = 0;
    std::uint32_t ArrivedInPeriod = 0;
    std::uint32_t GrantedSlots = 0;
  };
  struct UnusedGrant {
    VmId Entry;
    Grant Remaining;
  };

  static double demandWeight(const EntryState &state);
  std::vector<std::pair<VmId, std::uint32_t>>
  divideSlots(std::uint32_t freeSlots);
  void remove(std::map<GrantId, UnusedGrant>::iterator it);

  std::map<VmId, EntryState> Entries;
  std::map<GrantId, UnusedGrant> Grants;
  std::set<std::pair<TimePoint, GrantId>> ByExpiry;
  std::uint64_t LastId = 0;
  std::uint32_t UnusedSlots = 0;
  std::uint64_t UnusedUnits = 0;
};

} // namespace bergamot::routing

#endif
