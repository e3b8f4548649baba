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

/// Bounds of a ClaimBatcher.
struct ClaimLimits {
  /// Claims whose end the log has not confirmed. Each costs at most about
  /// 6 KiB, if all have kept bodies waiting for the log.
  std::size_t MaxClaims = 2048;
  std::size_t MaxBatchRecords = 512;
  std::size_t MaxBatchBytes = 256 * 1024;
  /// Longest time that a claim waits for others before its append.
  base::Duration MaxWait = std::chrono::milliseconds(20);
  /// The same for withdrawals and outcomes, for which no caller waits. They go
  /// along with the next claims.
  base::Duration MaxTerminalWait = std::chrono::milliseconds(250);
  base::Duration AppendTimeout = std::chrono::seconds(1);
  base::Duration ReadBackInterval = std::chrono::milliseconds(200);
  /// New claims are refused when the log has not answered for this long.
  base::Duration UnavailableAfter = std::chrono::seconds(2);
  /// A dispatched claim without an outcome this long after its deadline is
  /// recorded as unknown, so that it doesn't occupy memory for ever.
  base::Duration OutcomeGrace = std::chrono::seconds(60);
};

/// Asks for one append of these records to the stream of the partition.
struct ClaimAppend {
  std::uint64_t Number;
  std::vector<std::string> Records;
};

/// Asks to read the stream to its end, pass the records to apply() and then
/// call setReadBack() with the number.
struct ClaimReadBack {
  std::uint64_t Number;
};

/// Tells the decision about a claim. Won means that takeDispatch() may be
/// called; each other state is final and nothing was executed for this claim.
struct ClaimDecision {
  ClaimId Id;
  ClaimAnswer Answer;
};

using ClaimAction = std::variant<ClaimAppend, ClaimReadBack, ClaimDecision>;

/// What addClaim() found.
struct ClaimAdmission {
  /// The claim, if one was made; its decision follows as ClaimDecided.
  std::optional<ClaimId> Id;
  /// Otherwise what the table knows about the key, or Undecided if the log is
  /// down or the batcher is full: nothing was executed.
  ClaimAnswer Answer;
};

/// Makes the claims of one entry incarnation in one partition. Only one append
/// is under way at a time. A dispatch is permitted once per claim, before the
/// claim's deadline, and never after the claim was withdrawn.
class ClaimBatcher {
public:
  /// Takes the identity of the entry and the table of the partition, which it
  /// applies records to and which must outlive it.
  ClaimBatcher(base::VmId entry, base::Incarnation incarnation,
               ClaimTable &table, ClaimLimits limits = {});

  /// Claims a key for a request that must be dispatched before the deadline.
  ClaimAdmission addClaim(const Hash128 &key, const Hash128 &fingerprint,
                          base::TimePoint deadline, base::TimePoint now);

  /// Returns true if the request may be dispatched now, at most once unless
  /// setRefused() follows. Call it immediately before the dispatch.
  bool takeDispatch(const ClaimId &id, base::TimePoint now);

  /// Takes proof that the last dispatch executed nothing, and permits another.
  void setRefused(const ClaimId &id);

  /// Withdraws a claim of which nothing was executed. Returns false, and does
  /// nothing, if the claim is dispatched or has ended.
  bool addWithdrawal(const ClaimId &id, base::TimePoint now);

  /// Records the outcome of a dispatched claim; status 0 records that it is
  /// unknown. Returns false if the claim isn't dispatched.
  bool addOutcome(const ClaimId &id, const Outcome &result,
                  base::TimePoint now);

  /// Passes a record of the stream to the table and notes decisions.
  ClaimApplyResult apply(const LogRecord &record, base::TimePoint now);

  /// Takes the response to an append.
  void setAppended(std::uint64_t number);

  /// Takes an error, or a lost response, of an append.
  void setUnconfirmed(std::uint64_t number, base::TimePoint now);

  /// Takes the end of a read-back; see ClaimReadBack.
  void finishReadBack(std::uint64_t number);

  /// Returns what is to be done now, in order.
  std::vector<ClaimAction> takeActions(base::TimePoint now);

  /// Returns when takeActions() must be called at the latest.
  base::TimePoint wakeAt() const;

  /// Returns the number of claims whose end the log has not confirmed.
  std::size_t claimCount() const { return Claims.size(); }

private:
  enum class Phase { Undecided, Won, Dispatched, Withdrawing, Completing };

  struct OwnClaim {
    Hash128 Key;
    Hash128 Fingerprint;
    base::TimePoint Deadline;
    Phase State = Phase::Undecided;
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
  base::WallTime logTime(base::TimePoint now) const;
  void enqueue(ClaimRecord &&record, base::TimePoint now);
  void updateNextAppendAt();
  void setDeadline(std::uint64_t sequence, OwnClaim &claim,
                   base::TimePoint deadline);
  void withdraw(std::uint64_t sequence, OwnClaim &claim, base::TimePoint now);
  void complete(std::uint64_t sequence, OwnClaim &claim, const Outcome &result,
                base::TimePoint now);
  void remove(std::uint64_t sequence);
  void decide(std::uint64_t sequence, OwnClaim &claim, ClaimAnswer answer,
              base::TimePoint now);
  void endExpiredClaims(base::TimePoint now);
  bool isObsolete(const PendingRecord &pending) const;
  void startAppend(base::TimePoint now);

  base::VmId Entry;
  base::Incarnation Incarnation;
  ClaimTable &Table;
  ClaimLimits Limits;
  AppendTracker Tracker;
  std::uint64_t LastSequence = 0;
  /// The log's clock minus the monotonic clock, as seen in young records.
  std::optional<std::chrono::milliseconds> ClockOffset;
  OwnClaimMap Claims;
  /// The claim of this entry on a key that the table may not show yet.
  std::unordered_map<Hash128, std::uint64_t> SequenceByKey;
  std::set<std::pair<base::TimePoint, std::uint64_t>> Deadlines;
  std::deque<PendingRecord> Pending;
  base::TimePoint NextAppendAt = base::TimePoint::max();
  std::deque<PendingRecord> InFlight;
  std::vector<ClaimAction> Actions;
};

} // namespace bergamot::state

#endif
