#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_SLOTSHARING_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_SLOTSHARING_H

#include "libbergamotgateway/loadtracker.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bergamot::gateway {

/// The number of requests that wait at an entry for a slot of one service, by
/// priority.
using WaitingCounts = std::map<std::uint32_t, std::uint32_t>;

/// Returns the key under which an entry's report counts the requests of a
/// priority that wait for a service. A version that doesn't know these keys
/// takes them for the load of targets that don't exist.
TargetHash waitingKey(const std::string &service, std::uint32_t priority);

/// The slots of a service's targets by the last reports of all entries.
struct SlotTotals {
  /// Free slots at targets that aren't full.
  std::size_t Free = 0;
  /// Requests beyond the limits of targets that have too many.
  std::size_t Excess = 0;
  /// All requests.
  std::size_t Taken = 0;
};

/// The part of the hash space of slots that belongs to this entry, in [0, 1).
struct SlotInterval {
  double Begin = 0;
  double End = 1;
  /// The expected demand is too high for the free slots, so that an entry may
  /// only take free slots of its own interval.
  bool Contended = false;
  /// This entry hears too few others to know how many slots are taken, and
  /// keeps to an equal share of all slots.
  bool Isolated = false;
  /// The part of its share that an isolated entry uses.
  double ShareFraction = 1;
  /// Fraction of the targets at which no slot is filled, because all entries
  /// together exceed the sum of the limits.
  double Withheld = 0;
};

/// The requests at a target, as an entry sees them.
struct SlotCounts {
  TargetHash Target = 0;
  /// Upper bound of the requests of all entries.
  std::uint32_t Limit = 0;
  /// Requests of all other entries, by their last reports.
  std::uint32_t Others = 0;
  /// Requests of this entry: now, and by its own last report.
  std::uint32_t Own = 0;
  std::uint32_t OwnReported = 0;
};

/// Whether an entry may fill the next free slot of a target.
enum class SlotClaim {
  /// The slot is this entry's: it has freed one since its last report, or the
  /// slot is in its interval.
  Own,
  /// The slot is in the interval of another entry, but there are enough.
  Shared,
  /// The target is full, or the slot is left to another entry.
  None,
};

/// Divides the free slots of targets among the entries, so that entries that
/// learn of the same free slot at the same time don't all fill it.
///
/// This answers load that exceeds the slots at many entries at the same time.
/// Each entry learns of a freed slot with the next report, tens of milliseconds
/// late. When each of 18 entries filled each free slot that it saw, 595
/// requests were in flight under a limit of 384.
///
/// A slot that an entry has freed since its last report is its own to refill:
/// no other entry knows that it is free. Every other free slot has a point in
/// [0, 1), a hash of the target and the number of the slot, and belongs to the
/// entry in whose interval the point lies. Entries that have the same reports
/// compute the same intervals, so no messages are needed beyond the reports.
/// The lengths of the intervals follow the requests that wait at each entry,
/// the most urgent ones first, or where slots aren't contended, the requests
/// that each entry has in flight.
class SlotSharing {
public:
  /// Sets the entries among which slots are divided. `heard` are the ones with
  /// a current report, `known` all that may be running; both may omit this
  /// entry (`self`). An entry that hears no majority of the others is probably
  /// partitioned from them, and counts all of them. So does an entry that
  /// has just started (`isStarting`), until it hears all others: if all start
  /// at the same time, they would use slots that the others have filled since
  /// their last reports.
  void setEntries(const std::string &self, const std::set<std::string> &heard,
                  const std::set<std::string> &known, bool isStarting = false);
  /// Sets the services whose slots are divided and the priorities of their
  /// requests.
  void
  setServices(const std::map<std::string, std::set<std::uint32_t>> &priorities);
  bool isActive(const std::string &service) const {
    return PrioritiesByService.contains(service);
  }
  const std::map<std::string, std::set<std::uint32_t>> &services() const {
    return PrioritiesByService;
  }
  /// Replaces the last report of an entry. This entry sets its own as well, so
  /// that all entries compute the intervals from the same counts.
  void setReport(const std::string &entry, const RequestCounts &counts);

  /// Returns this entry's interval for a service.
  SlotInterval interval(const std::string &service,
                        const SlotTotals &totals) const;
  /// Returns whether this entry may fill the next free slot of a target.
  static SlotClaim claim(const SlotInterval &interval,
                         const SlotCounts &counts);
  /// Returns how many entries share the slots, including this one.
  std::size_t entryCount() const { return EntryNames.size(); }
  bool isIsolated() const { return Isolated; }

private:
  struct WaitingKey {
    std::string Service;
    std::uint32_t Priority = 0;
  };
  /// What an entry has last reported.
  struct EntryReport {
    std::map<std::string, WaitingCounts> WaitingByService;
    /// Requests at all targets.
    std::uint32_t InFlight = 0;

    const WaitingCounts &waiting(const std::string &service) const;
  };

  std::string Self;
  /// Sorted, so that all entries compute the intervals in the same order.
  std::vector<std::string> EntryNames{""};
  bool Isolated = false;
  bool IsStarting = false;
  std::map<std::string, std::set<std::uint32_t>> PrioritiesByService;
  std::map<TargetHash, WaitingKey> WaitingKeys;
  std::map<std::string, EntryReport> Reports;
};

} // namespace bergamot::gateway

#endif
