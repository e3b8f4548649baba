#ifndef BERGAMOT_LIBBERGAMOTROUTING_TARGETADMISSION_H
#define BERGAMOT_LIBBERGAMOTROUTING_TARGETADMISSION_H

#include "libbergamotrouting/accountshares.h"
#include "libbergamotrouting/attempttable.h"
#include "libbergamotrouting/granttable.h"
#include "libbergamotrouting/warmupramp.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bergamot::routing {

/// Settings of a TargetAdmission.
struct AdmissionSettings {
  WarmupSettings Warmup;
  /// Tokens or bytes that may be reserved at once.
  std::uint64_t UnitCount = 0;
  Duration GrantLifetime = std::chrono::seconds(1);
  /// Grants of freed slots are used at once or not at all. At 1 s, unused ones
  /// held back slots: 96.6% instead of 99.99% of the requests of a plain
  /// service were in time while a domain left (bench_domain).
  Duration FreedGrantLifetime = std::chrono::milliseconds(50);
  /// Without a load report for this long, the cold limit applies.
  Duration LoadStaleAfter = std::chrono::seconds(5);
  /// Part of the capacity in use from which priorities and shares count. At
  /// 0.8, targets of 8 slots refused 12% of the requests at two thirds load.
  double PressureFrom = 0.9;
  /// Capacity that each step of lower priority leaves to higher ones.
  double PriorityStep = 0.05;
  std::size_t AttemptCapacity = 65536;
  /// A connection is dead after 1 s without a frame, so a repeated Dispatch
  /// can't arrive this late.
  Duration AttemptRetention = std::chrono::seconds(30);
};

/// A request for admission. Priority 0 is the most urgent.
struct AdmissionRequest {
  AttemptKey Key;
  VmId Entry;
  AccountId Account;
  double Weight = 1;
  std::uint32_t Priority = 0;
  std::uint64_t Units = 0;
  TimePoint Deadline;
  std::optional<GrantId> Permit;
};

/// Decision on a request for admission. Executed is No if the refusal proves
/// that this attempt is not and will not be executed here. It is Unknown for
/// a duplicate, whose first copy may run: a duplicate gets no answer.
struct AdmissionVerdict {
  Refusal Reason = Refusal::None;
  Executed WasExecuted = Executed::No;
  Duration RetryAfter{};

  bool isAdmitted() const { return Reason == Refusal::None; }
};

/// How an admitted attempt ended. Outcome Unknown means that the back end may
/// still be working on it.
struct Completion {
  Executed Outcome = Executed::Yes;
  bool InTime = true;
  Duration FirstToken{};
};

/// Decides at the target which requests reach the back end. It is the only
/// way in: a slot and the units are reserved before any byte is sent.
class TargetAdmission {
public:
  explicit TargetAdmission(const AdmissionSettings &settings);

  /// Reserves capacity for an attempt or refuses it.
  AdmissionVerdict admit(const AdmissionRequest &request, TimePoint now);

  /// Ends a reservation. With outcome Unknown, the reservation stays until a
  /// newer incarnation of the back end is reported. Unknown attempts and
  /// repeated completions change nothing.
  RampChange setCompleted(const AttemptKey &key, const Completion &completion,
                          TimePoint now);

  /// Takes a load report; older ones and those of an older incarnation are
  /// ignored.
  RampChange addReport(const LoadReport &report, TimePoint now);

  /// Issues grants to the known entries. Call it at each heartbeat.
  std::vector<EntryGrant> issueGrants(TimePoint now);

  /// Issues grants for slots that have just become free, if requests wait at
  /// any entry. Call it after setCompleted: without it, a freed slot goes to
  /// whoever sends first, which is mostly the entry whose request ended.
  std::vector<EntryGrant> issueFreed(TimePoint now);

  /// Says whether requests wait at any entry.
  bool isContended() const { return Grants.hasWaiting(); }

  /// Sets how many requests wait at an entry for this target: what the entry's
  /// heartbeat reports, divided by the targets that can take them.
  void setWaiting(const VmId &entry, double count) {
    Grants.setWaiting(entry, count);
  }

  void addEntry(const VmId &entry) { Grants.addEntry(entry); }
  void removeEntry(const VmId &entry) { Grants.removeEntry(entry); }
  void setDraining(bool draining) { Draining = draining; }
  void setDomainRemoved(bool removed) { DomainRemoved = removed; }

  /// Returns the concurrent requests that are allowed now.
  std::uint32_t slotLimit(TimePoint now) const;

  /// Returns slots reserved here plus those that the back end uses for other
  /// work, e.g. work that a former daemon process admitted.
  std::uint32_t usedSlots() const { return ReservedSlots + ForeignSlots; }

  /// Returns units used, counted like usedSlots.
  std::uint64_t usedUnits() const { return ReservedUnits + ForeignUnits; }

  std::uint32_t reservedSlots() const { return ReservedSlots; }
  std::uint32_t grantedSlots() const { return Grants.unusedSlots(); }
  const WarmupRamp &ramp() const { return Ramp; }

private:
  struct Reservation {
    AccountId Account;
    std::uint64_t Units = 0;
    double Share = 0;
    std::uint64_t Epoch = 0;
    Incarnation BackEnd;
    TimePoint Since;
    TimePoint UnknownSince;
    bool Busy = false;
    bool OutcomeUnknown = false;
  };
  struct Level {
    TimePoint Time;
    std::uint32_t Slots = 0;
    std::uint64_t Units = 0;
  };

  Refusal stateRefusal(const AdmissionRequest &request, TimePoint now) const;
  Refusal capacityRefusal(const AdmissionRequest &request, TimePoint now) const;
  Refusal pressureRefusal(const AdmissionRequest &request, TimePoint now) const;
  void reserve(const AdmissionRequest &request, TimePoint now);
  void release(std::unordered_map<AttemptKey, Reservation>::iterator it,
               TimePoint now);
  std::vector<EntryGrant> issue(TimePoint now, Duration lifetime);
  void releaseUnknown(TimePoint now);
  void addLevel(TimePoint now);
  /// Makes an attempt that may run in a new incarnation foreign work, which
  /// the reports of that incarnation count.
  void removeFromHistory(const Reservation &held);
  Level levelAt(TimePoint time) const;
  Duration retryAfter(const AdmissionRequest &request) const;
  std::uint64_t unitLimit() const;
  double shareOf(std::uint64_t units) const;

  AdmissionSettings Settings;
  WarmupRamp Ramp;
  GrantTable Grants;
  AttemptTable Attempts;
  AccountShares Shares;
  std::unordered_map<AttemptKey, Reservation> Reservations;
  std::deque<Level> History;
  std::optional<LoadReport> LastReport;
  std::uint32_t ReservedSlots = 0;
  std::uint64_t ReservedUnits = 0;
  std::uint32_t ForeignSlots = 0;
  std::uint64_t ForeignUnits = 0;
  std::uint32_t RefusedSinceRelease = 0;
  /// Time of the last unknown outcome. It may mean that the back end has
  /// restarted, so the cold limit applies until a later report.
  TimePoint UnconfirmedSince = TimePoint::min();
  double MeanHoldSeconds = 0.1;
  bool Draining = false;
  bool DomainRemoved = false;
};

} // namespace bergamot::routing

#endif
