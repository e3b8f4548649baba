#ifndef BERGAMOT_LIBBERGAMOTCONFIG_CONFIGLEDGER_H
#define BERGAMOT_LIBBERGAMOTCONFIG_CONFIGLEDGER_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"
#include "libbergamotconfig/change.h"
#include "libbergamotconfig/configuration.h"
#include "libbergamotconfig/logrecord.h"
#include "libbergamotconfig/snapshot.h"
#include "libbergamotconfig/verdict.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::config {

/// Number of accepted changes whose ids are remembered. All readers keep the
/// same number, since a snapshot carries the list.
constexpr std::size_t RecentChanges = 256;

/// Number of verdicts that a ledger keeps for display.
constexpr std::size_t KeptVerdicts = 256;

/// Bounds of the records held while the ledger lacks a snapshot. Beyond them
/// the oldest are dropped, and a later snapshot decides the rest.
constexpr std::size_t MaximumHeldRecords = 4096;
constexpr std::size_t MaximumHeldBytes = 16U << 20;

/// Replays the stream `config` and decides which changes are in force. The
/// decision depends on the records and their offsets only, so every reader
/// reaches the same one. The version in force never decreases. Not
/// thread-safe.
class ConfigLedger {
public:
  /// Decides one record. Records come in the order of their offsets; one that
  /// was applied before is a duplicate. After a gap, or if the first record
  /// has an offset above 0, records are held as undecided until a snapshot
  /// covers the gap; the configuration in force stays.
  Verdict apply(const LogRecord &record);

  /// Applies the records of one read of the log, or those that a peer passed
  /// on, and returns a verdict for each new one. The records may be repeated
  /// or out of order. Records below earliest have expired from the log; at any
  /// other hole the rest is left for the next read at nextOffset().
  std::vector<Verdict> applyPage(std::vector<LogRecord> records,
                                 base::LogOffset earliest);

  /// Takes the text of a peer's snapshot; see snapshotText(). Does nothing and
  /// returns a verdict other than Snapshot if the text is malformed, its hash
  /// is wrong, or it is older than the state of this ledger. Afterwards,
  /// reading continues at nextOffset(). The present time counts as that of the
  /// last snapshot, so that daemons that start together don't all append one.
  Verdict installSnapshot(std::string_view text, base::WallTime time);

  /// Returns the configuration in force, or null if none is known. The lists
  /// are sorted by id.
  std::shared_ptr<const Configuration> configuration() const {
    return State.InForce;
  }

  /// Returns the version in force; 0 if none is known.
  base::ConfigVersion version() const { return State.Version; }

  /// Returns the hash of the configuration in force; empty if none is known.
  const std::string &hash() const { return State.Hash; }

  /// Returns the offset at which to read on.
  base::LogOffset nextOffset() const { return Next; }

  /// Returns whether every record before nextOffset() has been decided. While
  /// it is false, the configuration in force may be behind.
  bool isComplete() const { return !HeldFrom.has_value(); }

  /// Returns why a daemon that relies on this ledger isn't ready, or an empty
  /// text if a configuration is in force.
  std::string notReadyReason() const;

  /// Returns the text of a snapshot for the log or a peer. Throws Error (step
  /// configuration) if nothing is in force or records are undecided.
  std::string snapshotText() const;

  /// Returns when this daemon should append a snapshot: a quarter to half of
  /// the log's retention after the last one, spread by VM id so that rarely
  /// two daemons append the same one. Returns nothing if there is nothing to
  /// append.
  std::optional<base::WallTime> snapshotDueAt(const base::VmId &vm) const;

  /// Returns the latest verdicts in offset order. Held records appear once
  /// they are decided.
  const std::deque<Verdict> &verdicts() const { return Verdicts; }

private:
  /// What the readers agree on at one offset.
  struct Agreed {
    std::shared_ptr<const Configuration> InForce;
    base::ConfigVersion Version;
    std::string Hash;
    std::deque<AcceptedChange> Recent;
  };

  Verdict decide(const LogRecord &record);
  void decideChange(Change &change, const LogRecord &record, Verdict &verdict);
  void decideSnapshot(const Snapshot &snapshot, Verdict &verdict) const;
  std::optional<Configuration> changedConfiguration(Change &change,
                                                    Verdict &verdict) const;
  bool follows(const Snapshot &snapshot) const;
  bool isSigned(const Change &change) const;
  void hold(const LogRecord &record);
  Verdict applyWithGap(const LogRecord &record);
  void adopt(Snapshot &&snapshot, base::WallTime time);
  void addVerdict(const Verdict &verdict);

  Agreed State;
  base::LogOffset Next;
  std::optional<base::LogOffset> HeldFrom;
  std::deque<LogRecord> Held;
  std::size_t HeldBytes = 0;
  std::optional<base::WallTime> LastSnapshot;
  std::deque<Verdict> Verdicts;
};

} // namespace bergamot::config

#endif
