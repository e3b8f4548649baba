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

/// What a repeated request, or a new claim, is to be told about its key.
enum class ClaimState {
  /// No claim holds the key.
  Free,
  /// This claim holds the key; its entry may dispatch.
  Won,
  /// Another claim holds the key and its entry still lives.
  InProgress,
  /// The request was executed; the outcome is known.
  Completed,
  /// The request may have been executed; it is never executed again.
  Unknown,
  /// The key was used for a different request (HTTP 422).
  Mismatch,
  /// The log did not decide the claim by its deadline; nothing was executed.
  Undecided,
};

/// The state of a key, with the outcome if Completed.
struct ClaimAnswer {
  ClaimState State = ClaimState::Free;
  Outcome Result;
};

/// What a record changed in the table.
struct ClaimApplyResult {
  /// False for a record that is malformed or was applied before.
  bool Applied = false;
  ClaimRecord Record;
  /// For claim records, the decision about the claim.
  ClaimAnswer Answer;
};

/// Replays one partition of the stream of claims in offset order.
///
/// A key is held while the table has a claim on it that is neither withdrawn
/// nor older than the idempotency window, by the log's record times. A claim
/// wins if its key was not held when its record was stored. This rule depends
/// only on records of the last window, so a reader that started later, when
/// older records had expired, decides alike. A claim that lost holds the key
/// too until its entry withdraws it.
///
/// The log must retain records for the window plus the longest request
/// deadline.
class ClaimTable {
public:
  /// Takes the idempotency window.
  explicit ClaimTable(std::chrono::milliseconds window);

  /// Applies a record. Records at offsets below next() are ignored, so that a
  /// repeated or overlapping read changes nothing.
  ClaimApplyResult apply(const LogRecord &record);

  /// Returns what to tell a request with this key and fingerprint at an
  /// estimate of the log's time. Records alone move the log's time in the
  /// table, so without an estimate a key of a quiet stream would never expire.
  /// A wrong estimate can cause a claim that loses, but not a second winner.
  ClaimAnswer answer(const Hash128 &key, const Hash128 &fingerprint,
                     base::WallTime logTime = base::WallTime::min()) const;

  /// Marks an incarnation of an entry as gone: its claims without an outcome
  /// are answered as Unknown. Older incarnations of the VM are gone as well.
  void setIncarnationEnded(const base::VmId &entry,
                           base::Incarnation incarnation);

  /// Tells that the log has dropped the records below this offset. If claims
  /// younger than the window at this wall-clock time are among them, a reader
  /// that starts now would miss them; see retentionFaults().
  void setEarliestOffset(base::LogOffset earliest, base::WallTime now);

  /// Returns the offset from which to read on.
  base::LogOffset next() const { return Next; }

  /// Returns the number of keys that the table keeps.
  std::size_t keyCount() const { return Keys.size(); }

  /// Returns the number of malformed records that were skipped.
  std::uint64_t malformedCount() const { return Malformed; }

  /// Returns how often the log dropped records within the window.
  std::uint64_t retentionViolations() const { return RetentionViolations; }

private:
  enum class Phase : std::uint8_t { Held, Withdrawn, Completed };

  struct Claim {
    std::uint64_t Sequence;
    base::WallTime Time;
    Hash128 Fingerprint;
    std::unique_ptr<Outcome> Result;
    std::uint32_t EntryIndex;
    Phase State;
  };

  struct EntryIncarnation {
    base::VmId Entry;
    base::Incarnation Value;
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
  std::map<base::VmId, base::Incarnation> EndedUpTo;
  std::uint64_t Malformed = 0;
  std::uint64_t RetentionViolations = 0;
};

} // namespace bergamot::state

#endif
