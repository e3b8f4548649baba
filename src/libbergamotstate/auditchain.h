#ifndef BERGAMOT_LIBBERGAMOTSTATE_AUDITCHAIN_H
#define BERGAMOT_LIBBERGAMOTSTATE_AUDITCHAIN_H

#include "libbergamotstate/appendtracker.h"
#include "libbergamotstate/auditrecord.h"
#include "libbergamotstate/logrecord.h"

#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace bergamot::state {

/// Bounds of an AuditChain.
struct AuditLimits {
  /// Records that wait for the log, in bytes of their text.
  std::size_t MaxBytes = 1024 * 1024;
  std::size_t MaxBatchBytes = 64 * 1024;
  /// Longest time that a record waits for others. At 930 daemons, 10 s give at
  /// most 93 appends/s of the several hundred that the log takes.
  base::Duration MaxWait = std::chrono::seconds(10);
  base::Duration AppendTimeout = std::chrono::seconds(2);
  base::Duration ReadBackInterval = std::chrono::seconds(1);
};

/// Asks for one append of this record to the daemon's audit stream.
struct AuditAppend {
  std::uint64_t Number;
  std::string Text;
};

/// Asks to read the audit stream from the offset to its end, pass the records
/// to apply() and then call setReadBack() with the number.
struct AuditReadBack {
  std::uint64_t Number;
  base::LogOffset From;
};

using AuditAction = std::variant<AuditAppend, AuditReadBack>;

/// Writes the audit stream of one daemon incarnation: records are put together
/// in batches, and each batch holds the hash of the one before. A batch is
/// appended until the log is known to hold it, always with the same bytes, so
/// that its repetitions can be told from forgeries. When memory is full,
/// records are dropped, and the next batch states how many.
class AuditChain {
public:
  /// Takes the writer's identity and the last batch of its earlier
  /// incarnation, if the log could be read.
  AuditChain(base::VmId daemon, base::Incarnation incarnation,
             AuditLink priorEnd = {}, AuditLimits limits = {});

  /// Sets the last batch of the writer's earlier incarnation and the offset
  /// behind it, from which read-backs start. Call it before takeActions().
  void setPriorEnd(AuditLink priorEnd, base::LogOffset readFrom);

  /// Adds a record. Returns false if it was dropped for lack of memory.
  bool add(AuditRecord record, base::TimePoint now);

  /// Passes a record that a read-back found.
  void apply(const LogRecord &record);

  /// Takes the response to an append.
  void setAppended(std::uint64_t number, base::LogOffset offset);

  /// Takes an error, or a lost response, of an append.
  void setUnconfirmed(std::uint64_t number, base::TimePoint now);

  /// Takes the end of a read-back.
  void finishReadBack(std::uint64_t number);

  /// Returns what is to be done now.
  std::vector<AuditAction> takeActions(base::TimePoint now);

  /// Writes what waits without waiting for more; for a graceful shutdown.
  void setFlush() { FlushRequested = true; }

  /// Returns whether the log holds all records.
  bool isEmpty() const {
    return Pending.empty() && !Unconfirmed && Gap.Count == 0;
  }

  /// Returns when takeActions() must be called at the latest.
  base::TimePoint wakeAt() const;

  /// Returns the number of records that were dropped.
  std::uint64_t droppedCount() const { return DroppedCount; }

  /// Returns how many batches of others were found under this identity.
  std::uint64_t conflictCount() const { return ConflictCount; }

  /// Returns the last batch that the log is known to hold.
  const AuditLink &lastLink() const { return LastConfirmed; }

private:
  struct PendingRecord {
    AuditRecord Record;
    std::size_t Bytes;
    base::TimePoint AddedAt;
  };

  struct SealedBatch {
    AuditLink Link;
    std::string Text;
    std::size_t Bytes;
  };

  bool isDue(base::TimePoint now) const;
  void sealPending();
  void confirm(base::LogOffset offset);

  base::VmId Daemon;
  AuditLink PriorEnd;
  AuditLimits Limits;
  AppendTracker Tracker;
  AuditLink LastConfirmed;
  base::LogOffset ReadFrom;
  std::deque<PendingRecord> Pending;
  std::optional<SealedBatch> Unconfirmed;
  AuditGap Gap;
  std::size_t BufferedBytes = 0;
  std::size_t PendingBytes = 0;
  std::uint64_t DroppedCount = 0;
  std::uint64_t ConflictCount = 0;
  bool FlushRequested = false;
};

} // namespace bergamot::state

#endif
