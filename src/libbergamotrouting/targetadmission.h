#ifndef BERGAMOT_LIBBERGAMOTROUTING_TARGETADMISSION_H
#define BERGAMOT_LIBBERGAMOTROUTING_TARGETADMISSION_H

#include "libbergamotrouting/accountusage.h"
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
  /// Tokens or bytes that may be reserved at the same time.
  std::uint64_t MaxUnits = 0;
  Duration GrantLifetime = std::chrono::seconds(1);
  /// Grants for freed slots are used immediately or not at all. With a lifetime
  /// of 1 s, unused ones blocked slots, and only 96.6% instead of 99.99% of the
  /// requests of a plain service were in time while a failure domain was being
  /// removed (bench_domain).
  Duration FreedGrantLifetime = std::chrono::milliseconds(50);
  /// Without a load report for this long, the cold limit applies.
  Duration LoadStaleAfter = std::chrono::seconds(5);
  /// Priorities and account shares apply while more than this fraction of the
  /// capacity is in use. At 0.8, targets of 8 slots refused 12% of the requests
  /// at two thirds load.
  double PressureThreshold = 0.9;
  /// Fraction of the capacity that is reserved per priority level: requests of
  /// priority n can't use the last n * PriorityStep of the capacity (at most 1
  /// - PressureThreshold), which is reserved for more urgent ones.
  double PriorityStep = 0.05;
  std::size_t AttemptCapacity = 65536;
  /// A connection is dead after 1 s without a frame, so a duplicate Dispatch
  /// message can't arrive later than AttemptRetention after the original.
  Duration AttemptRetention = std::chrono::seconds(30);
};

/// An admission request. Priority 0 is the most urgent.
struct AdmissionRequest {
  AttemptKey Key;
  VmId Entry;
  AccountId Account;
  double Weight = 1;
  std::uint32_t Priority = 0;
  std::uint64_t Units = 0;
  TimePoint Deadline;
  std::optional<GrantId> UsedGrant;
};

/// Decision on an admission request. For a refusal, WasExecuted is No if this
/// attempt is guaranteed never to be executed here. It is Unknown for a
/// duplicate, whose original may be running; a duplicate gets no answer.
struct AdmissionVerdict {
  Refusal Reason = Refusal::None;
  Executed WasExecuted = Executed::No;
  Duration RetryAfter{};

  bool isAdmitted() const { return Reason == Refusal::None; }
};

/// Result of an admitted attempt. Outcome Unknown means that the back end may
/// still be working on it.
struct AttemptResult {
  Executed Outcome = Executed::Yes;
  bool InTime = true;
  Duration TimeToFirstToken{};
};

/// Admission control at the target. All requests to the back end pass through
/// it: a slot and the units are reserved before any byte is sent.
class TargetAdmission {
public:
  explicit TargetAdmission(const AdmissionSettings &settings);

  /// Reserves capacity for an attempt or refuses it.
  AdmissionVerdict admit(const AdmissionRequest &request, TimePoint now);

  /// Ends a reservation. With outcome Unknown, the reservation stays until a
  /// newer incarnation of the back end is reported. Results of attempts without
  /// a reservation and duplicate results are ignored.
  RampChange recordResult(const AttemptKey &key, const AttemptResult &result,
                          TimePoint now);

  /// Applies a load report. Older reports and those of an older incarnation are
  /// ignored.
  RampChange addReport(const LoadReport &report, TimePoint now);

  /// Issues grants to the known entries. Call it at each heartbeat.
  std::vector<EntryGrant> issueGrants(TimePoint now);

  /// Issues grants for slots that have just become free, if requests are queued
  /// at some entry. Call it after recordResult(). Without these grants, a freed
  /// slot goes to the first sender, which is mostly the entry whose request
  /// ended.
  std::vector<EntryGrant> issueFreedGrants(TimePoint now);

  /// Returns whether requests are queued at some entry.
  bool isContended() const { return Grants.hasWaiting(); }

  /// Sets the number of queued requests that an entry is expected to send to
  /// this target: the number that the entry's heartbeat reports, divided by the
  /// number of targets that can take them.
  void setWaiting(const VmId &entry, double expectedCount) {
    Grants.setWaiting(entry, expectedCount);
  }

  void addEntry(const VmId &entry) { Grants.addEntry(entry); }
  void removeEntry(const VmId &entry) { Grants.removeEntry(entry); }
  void setDraining(bool draining) { Draining = draining; }
  void setDomainRemoved(bool removed) { DomainRemoved = removed; }

  /// Returns the current limit on concurrent requests.
  std::uint32_t slotLimit(TimePoint now) const;

  /// Returns the slots reserved here plus those that the back end uses for
  /// other work, e.g. work admitted by a previous daemon process.
  std::uint32_t usedSlots() const { return ReservedSlots + ExternalSlots; }

  /// Returns the units used, counted like usedSlots().
  std::uint64_t usedUnits() const { return ReservedUnits + ExternalUnits; }

  std::uint32_t reservedSlots() const { return ReservedSlots; }
  std::uint32_t grantedSlots() const { return Grants.unusedSlots(); }
  const WarmupRamp &ramp() const { return Ramp; }

private:
  struct Reservation {
    AccountId Account;
    std::uint64_t Units = 0;
    double CapacityFraction = 0;
    std::uint64_t Epoch = 0;
    Incarnation BackEndIncarnation;
    TimePoint ReservedAt;
    TimePoint UnknownSince;
    bool AdmittedWhenBusy = false;
    bool OutcomeUnknown = false;
  };
  struct UsageSample {
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
  void releaseUnknownOutcomes(TimePoint now);
  void recordUsage(TimePoint now);
  /// Removes an attempt with unknown outcome from UsageHistory when a newer
  /// incarnation of the back end is reported. The new incarnation may be
  /// running the attempt, which then counts as external work in its reports.
  void removeFromHistory(const Reservation &reservation);
  UsageSample usageAt(TimePoint time) const;
  Duration retryAfter(const AdmissionRequest &request) const;
  std::uint64_t unitLimit() const;
  double capacityFraction(std::uint64_t units) const;

  AdmissionSettings Settings;
  WarmupRamp Ramp;
  GrantTable Grants;
  AttemptTable Attempts;
  AccountUsage UsageByAccount;
  std::unordered_map<AttemptKey, Reservation> Reservations;
  std::deque<UsageSample> UsageHistory;
  std::optional<LoadReport> LastReport;
  std::uint32_t ReservedSlots = 0;
  std::uint64_t ReservedUnits = 0;
  std::uint32_t ExternalSlots = 0;
  std::uint64_t ExternalUnits = 0;
  /// Refusals that are not yet matched by a released slot. They determine
  /// RetryAfter.
  std::uint32_t UnservedRefusals = 0;
  /// Time of the last unknown outcome. The back end may have restarted then, so
  /// the cold limit applies until a later report.
  TimePoint LastUnknownAt = TimePoint::min();
  double MeanReservationSeconds = 0.1;
  bool Draining = false;
  bool DomainRemoved = false;
};

} // namespace bergamot::routing

#endif
