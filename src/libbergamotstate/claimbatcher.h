#ifndef BERGAMOT_LIBBERGAMOTSTATE_CLAIMBATCHER_H
#define BERGAMOT_LIBBERGAMOTSTATE_CLAIMBATCHER_H

#include "libbergamotstate/appendtracker.h"
#include "libbergamotstate/claimtable.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bergamot::state {

/// Settings of a ClaimBatcher.
struct ClaimSettings {
  /// Largest number of claims whose outcome or withdrawal the log has not
  /// confirmed. A claim takes at most about 6 KiB, with a response body waiting
  /// to be appended.
  std::size_t MaxClaims = 2048;
  std::size_t MaxBatchRecords = 512;
  std::size_t MaxBatchBytes = 256 * 1024;
  /// Longest time that a claim is held back to fill a batch.
  base::Duration MaxWait = std::chrono::milliseconds(20);
  /// The same for the records that end a claim, i.e. withdrawals and outcomes,
  /// for which no caller waits. They are appended together with the next
  /// claims.
  base::Duration MaxEndRecordWait = std::chrono::milliseconds(250);
  base::Duration AppendTimeout = std::chrono::seconds(1);
  base::Duration ReadBackInterval = std::chrono::milliseconds(200);
  /// New claims are refused once the log has not answered for this long.
  base::Duration UnavailableAfter = std::chrono::seconds(2);
  /// A dispatched claim without an outcome this long after its deadline is
  /// recorded with an unknown outcome, which bounds the memory for such claims.
  base::Duration OutcomeGrace = std::chrono::seconds(60);
};

/// Request to append these records to the partition's stream.
struct ClaimAppend {
  std::uint64_t AppendNumber;
  std::vector<std::string> Records;
};

/// Request to read the stream to its end, pass the records to apply() and then
/// call finishReadBack() with the append number.
struct ClaimReadBack {
  std::uint64_t AppendNumber;
};

/// The decision about a claim. Won permits a call of takeDispatchPermit();
/// every other state is final, and nothing was executed under this claim,
/// although the request may have been executed under another one.
struct ClaimDecision {
  ClaimId Id;
  ClaimAnswer Answer;
};

using ClaimAction = std::variant<ClaimAppend, ClaimReadBack, ClaimDecision>;

/// Result of addClaim().
struct ClaimAdmission {
  /// The new claim, if one was added; its decision follows as a ClaimDecision.
  std::optional<ClaimId> Id;
  /// Without a new claim, the state of the key according to the table, or
  /// Undecided if the log is unavailable, the batcher is full or the deadline
  /// has passed. This call executed nothing.
  ClaimAnswer Answer;
};

/// Manages the claims of one entry incarnation in one partition. Only one
/// append is in flight at a time. A claim may be dispatched once, and again
/// only after recordRefusedDispatch(). It is dispatched only before its
/// deadline, and never after it was withdrawn.
class ClaimBatcher {
public:
  /// `table` is the partition's table. The batcher applies records to it, and
  /// it must outlive the batcher.
  ClaimBatcher(base::VmId entry, base::Incarnation incarnation,
               ClaimTable &table, ClaimSettings settings = {});

  /// Claims a key for a request that must be dispatched before the deadline.
  ClaimAdmission addClaim(const Hash128 &key, const Hash128 &fingerprint,
                          base::TimePoint deadline, base::TimePoint now);

  /// Returns true if the request may be dispatched now, and marks the claim as
  /// dispatched. Returns true at most once unless recordRefusedDispatch()
  /// follows. Must be called immediately before the dispatch.
  bool takeDispatchPermit(const ClaimId &id, base::TimePoint now);

  /// Records that the target refused the last dispatch and provably executed
  /// nothing, and permits another dispatch.
  void recordRefusedDispatch(const ClaimId &id);

  /// Withdraws a claim for which nothing was executed. Returns false and does
  /// nothing if the claim was dispatched or has ended.
  bool addWithdrawal(const ClaimId &id, base::TimePoint now);

  /// Records the outcome of a dispatched claim; status 0 means unknown. Returns
  /// false if the claim isn't dispatched or has ended.
  bool addOutcome(const ClaimId &id, const Outcome &outcome,
                  base::TimePoint now);

  /// Applies a record of the stream to the table and records the resulting
  /// decision.
  ClaimApplyResult apply(const LogRecord &record, base::TimePoint now);

  /// Records that an append succeeded.
  void recordAppended(std::uint64_t appendNumber);

  /// Records that an append is unconfirmed: it failed, or its response was
  /// lost.
  void recordUnconfirmed(std::uint64_t appendNumber, base::TimePoint now);

  /// Records that a read-back reached the end of the stream; see ClaimReadBack.
  void finishReadBack(std::uint64_t appendNumber);

  /// Returns the requests and decisions to carry out now, in order.
  std::vector<ClaimAction> takeActions(base::TimePoint now);

  /// Returns the latest time at which takeActions() must be called next.
  base::TimePoint wakeAt() const;

  /// Returns the number of claims whose outcome or withdrawal the log has not
  /// confirmed.
  std::size_t claimCount() const { return Claims.size(); }

private:
  enum class Phase { Undecided, Won, Dispatched, Withdrawing, Completing };

  struct OwnClaim {
    Hash128 Key;
    Hash128 Fingerprint;
    base::TimePoint Deadline;
    Phase CurrentPhase = Phase::Undecided;
    bool AppendStarted = false;
    bool SeenInStream = false;
  };

  struct PendingRecord {
    std::uint64_t Sequence;
    ClaimKind Kind;
    base::TimePoint AppendBy;
    std::string Text;
  };

  using OwnClaimMap = std::unordered_map<std::uint64_t, OwnClaim>;

  OwnClaim *find(const ClaimId &id);
  base::WallTime estimateLogTime(base::TimePoint now) const;
  void enqueue(ClaimRecord &&record, base::TimePoint now);
  void updateNextAppendAt();
  void setDeadline(std::uint64_t sequence, OwnClaim &claim,
                   base::TimePoint deadline);
  void withdraw(std::uint64_t sequence, OwnClaim &claim, base::TimePoint now);
  void complete(std::uint64_t sequence, OwnClaim &claim, const Outcome &outcome,
                base::TimePoint now);
  void remove(std::uint64_t sequence);
  void decide(std::uint64_t sequence, OwnClaim &claim, ClaimAnswer answer,
              base::TimePoint now);
  void endExpiredClaims(base::TimePoint now);
  /// Returns whether the record no longer needs to be appended: its claim has
  /// ended, or it is a claim that is stored already or being withdrawn.
  bool isObsolete(const PendingRecord &pending) const;
  void startAppend(base::TimePoint now);

  base::VmId Entry;
  base::Incarnation Incarnation;
  ClaimTable &Table;
  ClaimSettings Settings;
  AppendTracker Tracker;
  std::uint64_t LastSequence = 0;
  /// Estimate of the log's clock minus the monotonic clock, from recently
  /// stored records.
  std::optional<std::chrono::milliseconds> ClockOffset;
  OwnClaimMap Claims;
  /// This entry's claim on each key, including claims that the table doesn't
  /// contain yet.
  std::unordered_map<Hash128, std::uint64_t> SequenceByKey;
  std::set<std::pair<base::TimePoint, std::uint64_t>> Deadlines;
  std::deque<PendingRecord> Pending;
  base::TimePoint NextAppendAt = base::TimePoint::max();
  std::deque<PendingRecord> InFlight;
  std::vector<ClaimAction> Actions;
};

} // namespace bergamot::state

#endif
