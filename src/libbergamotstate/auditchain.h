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

/// Settings of an AuditChain.
struct AuditSettings {
  /// Largest total size of the serialized records that the log has not
  /// confirmed.
  std::size_t MaxUnconfirmedBytes = 1024 * 1024;
  std::size_t MaxBatchBytes = 64 * 1024;
  /// Longest time that a record is held back to fill a batch. With 930
  /// daemons, 10 s amount to at most 93 appends/s; the log can take several
  /// hundred.
  base::Duration MaxWait = std::chrono::seconds(10);
  base::Duration AppendTimeout = std::chrono::seconds(2);
  base::Duration ReadBackInterval = std::chrono::seconds(1);
};

/// Request to append this serialized batch to the daemon's audit stream.
struct AuditAppend {
  std::uint64_t AppendNumber;
  std::string Text;
};

/// Request to read the audit stream from the offset to its end, pass the
/// records to apply() and then call finishReadBack() with the append number.
struct AuditReadBack {
  std::uint64_t AppendNumber;
  base::LogOffset From;
};

using AuditAction = std::variant<AuditAppend, AuditReadBack>;

/// Writes the audit stream of one daemon incarnation. Records are grouped into
/// batches, and each batch contains the hash of the previous one. A batch is
/// appended until the log is known to contain it, always with the same bytes,
/// so that a retry can be told from a forgery. When the buffer is full, records
/// are dropped, and a later batch states how many.
class AuditChain {
public:
  /// `priorLastLink` is the last batch of the daemon's earlier incarnation, if
  /// the log could be read.
  AuditChain(base::VmId daemon, base::Incarnation incarnation,
             AuditLink priorLastLink = {}, AuditSettings settings = {});

  /// Sets the last batch of the daemon's earlier incarnation and the offset
  /// after it, at which read-backs start. Must be called before takeActions().
  void setPriorLastLink(AuditLink priorLastLink, base::LogOffset readFrom);

  /// Adds a record. Returns false if it was dropped because the buffer is full.
  bool add(AuditRecord record, base::TimePoint now);

  /// Processes a record found by a read-back.
  void apply(const LogRecord &record);

  /// Records that an append succeeded.
  void recordAppended(std::uint64_t appendNumber, base::LogOffset offset);

  /// Records that an append is unconfirmed: it failed, or its response was
  /// lost.
  void recordUnconfirmed(std::uint64_t appendNumber, base::TimePoint now);

  /// Records that a read-back reached the end of the stream.
  void finishReadBack(std::uint64_t appendNumber);

  /// Returns the requests to carry out now.
  std::vector<AuditAction> takeActions(base::TimePoint now);

  /// From now on, writes pending records without waiting for a full batch. For
  /// a graceful shutdown.
  void requestFlush() { FlushRequested = true; }

  /// Returns whether the log is known to contain all records and the gap, if
  /// any.
  bool isFullyConfirmed() const {
    return Pending.empty() && !CurrentBatch && Gap.Count == 0;
  }

  /// Returns the latest time at which takeActions() must be called next.
  base::TimePoint wakeAt() const;

  /// Returns the number of records that were dropped.
  std::uint64_t droppedCount() const { return DroppedCount; }

  /// Returns how many batches of another writer were found under this daemon,
  /// this incarnation and a sequence number that this chain uses.
  std::uint64_t conflictCount() const { return ConflictCount; }

  /// Returns the last batch that the log is known to contain.
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
  AuditLink PriorLastLink;
  AuditSettings Settings;
  AppendTracker Tracker;
  AuditLink LastConfirmed;
  base::LogOffset ReadFrom;
  std::deque<PendingRecord> Pending;
  std::optional<SealedBatch> CurrentBatch;
  AuditGap Gap;
  std::size_t BufferedBytes = 0;
  std::size_t PendingBytes = 0;
  std::uint64_t DroppedCount = 0;
  std::uint64_t ConflictCount = 0;
  bool FlushRequested = false;
};

} // namespace bergamot::state

#endif
