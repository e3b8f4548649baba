#ifndef BERGAMOT_LIBBERGAMOTSTATE_CLAIMTABLE_H
#define BERGAMOT_LIBBERGAMOTSTATE_CLAIMTABLE_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotstate/claimrecord.h"
#include "libbergamotstate/logrecord.h"

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace bergamot::state {

/// The state of a key as seen by one request, which may have made a claim.
enum class ClaimState {
  /// No claim holds the key.
  Free,
  /// The request's own claim holds the key; its entry may dispatch.
  Won,
  /// Another claim holds the key, and the incarnation of the entry that made it
  /// has not ended.
  InProgress,
  /// The request was executed, and its outcome is known.
  Completed,
  /// The request may have been executed. It is never executed again.
  Unknown,
  /// The key was used for a different request (HTTP 422).
  FingerprintMismatch,
  /// The log did not decide the claim before its deadline. Nothing was
  /// executed.
  Undecided,
};

/// The state of a key, with the outcome if it is Completed.
struct ClaimAnswer {
  ClaimState State = ClaimState::Free;
  Outcome RequestOutcome;
};

/// Result of applying a record to the table.
struct ClaimApplyResult {
  /// False for a malformed record or a duplicate.
  bool Applied = false;
  ClaimRecord Record;
  /// The decision about the claim, for records of kind Claim.
  ClaimAnswer Answer;
};

/// Replays one partition of the claim stream in offset order.
///
/// A key is held while the table contains a claim on it that is neither
/// withdrawn nor older than the idempotency window, according to the log's
/// timestamps. A claim wins if its key was not held when its record was stored.
/// This rule depends only on records of the last window, so a reader that
/// starts later, when older records have expired, reaches the same decisions. A
/// claim that lost also holds the key until its entry withdraws it, so later
/// claims lose too until then.
///
/// The log must retain records for the window plus the longest request
/// deadline.
class ClaimTable {
public:
  /// `window` is the idempotency window.
  explicit ClaimTable(std::chrono::milliseconds window);

  /// Applies a record. Records at offsets below next() are ignored, so repeated
  /// or overlapping reads have no effect.
  ClaimApplyResult apply(const LogRecord &record);

  /// Returns the state of a key for a request with this fingerprint. `logTime`
  /// is an estimate of the log's current time. The table's own log time
  /// advances only with records, so without an estimate a key of an idle stream
  /// would never expire. A wrong estimate can at worst lead to a claim that
  /// then loses, but never to a second winner.
  ClaimAnswer answer(const Hash128 &key, const Hash128 &fingerprint,
                     base::WallTime logTime = base::WallTime::min()) const;

  /// Records that an incarnation of an entry has ended: its claims without an
  /// outcome are reported as Unknown. Older incarnations of the VM have ended
  /// as well.
  void setIncarnationEnded(const base::VmId &entry,
                           base::Incarnation incarnation);

  /// Records that the log has dropped all records below this offset. If these
  /// include claims younger than the window at the given wall-clock time, a
  /// reader that starts now would miss them, which is counted in
  /// retentionViolations().
  void setEarliestOffset(base::LogOffset earliest, base::WallTime now);

  /// Returns the offset at which to continue reading.
  base::LogOffset next() const { return Next; }

  /// Returns the number of keys in the table.
  std::size_t keyCount() const { return Keys.size(); }

  /// Returns the number of malformed records that were skipped.
  std::uint64_t malformedCount() const { return Malformed; }

  /// Returns the number of times that the log was found to have dropped records
  /// younger than the window.
  std::uint64_t retentionViolations() const { return RetentionViolations; }

private:
  enum class Phase : std::uint8_t { Held, Withdrawn, Completed };

  struct Claim {
    std::uint64_t Sequence;
    base::WallTime Time;
    Hash128 Fingerprint;
    std::unique_ptr<Outcome> RequestOutcome;
    std::uint32_t EntryIndex;
    Phase CurrentPhase;
  };

  struct EntryIncarnation {
    base::VmId Entry;
    base::Incarnation Number;
  };

  struct Expiry {
    base::WallTime Time;
    Hash128 Key;
    base::LogOffset Offset;
  };

  std::uint32_t incarnationIndex(const ClaimId &id);
  Claim *find(const Hash128 &key, const ClaimId &id);
  Claim &add(const ClaimRecord &record, const LogRecord &source, Phase phase);
  bool hasEnded(const Claim &claim) const;
  void removeExpired();
  ClaimApplyResult applyClaim(ClaimRecord &&record, const LogRecord &source);
  void applyWithdrawn(const ClaimRecord &record, const LogRecord &source);
  void applyCompleted(const ClaimRecord &record, const LogRecord &source);

  std::chrono::milliseconds Window;
  base::LogOffset Next;
  base::WallTime LogTime;
  std::unordered_map<Hash128, std::vector<Claim>> Keys;
  std::deque<Expiry> Expiries;
  std::vector<EntryIncarnation> EntryIncarnations;
  std::map<std::pair<base::VmId, base::Incarnation>, std::uint32_t>
      IncarnationIndexes;
  /// This incarnation of the entry and all lower ones have ended.
  std::map<base::VmId, base::Incarnation> HighestEndedIncarnations;
  std::uint64_t Malformed = 0;
  std::uint64_t RetentionViolations = 0;
};

} // namespace bergamot::state

#endif
