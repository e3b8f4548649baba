#ifndef BERGAMOT_LIBBERGAMOTUSAGE_USAGEREPORTER_H
#define BERGAMOT_LIBBERGAMOTUSAGE_USAGEREPORTER_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotusage/reportrecord.h"
#include "libbergamotusage/usagemessage.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bergamot::usage {

/// Reads the report record.
struct ReadRecord {};

/// Writes the report record, on the condition that the topic ends at `At`.
struct AppendRecord {
  std::uint64_t At = 0;
  ReportRecord Record;
};

/// Sends the report of one window to the platform.
struct SendReport {
  std::uint64_t Token = 0;
  WindowUsage Usage;
  /// The report must not leave this process after this time.
  base::TimePoint NotAfter;
};

using ReporterAction = std::variant<ReadRecord, AppendRecord, SendReport>;

/// The end offset of the topic, and the report record if there is one.
struct RecordState {
  std::uint64_t End = 0;
  std::optional<ReportRecord> Record;
  /// The store's era. Offsets are given out again in each era.
  std::uint64_t Era = FirstStoreEra;
};

/// Result of an attempt to write the record.
enum class AppendResult {
  Appended,
  /// Nothing was written: the topic has changed, or the store refused the call.
  NotAppended,
  /// There was no response: the record may have been written, or may still be
  /// written if the topic doesn't change before.
  Unknown,
};

/// What an entry observes of its surroundings.
struct ReporterSurroundings {
  bool StoreReachable = false;
  /// At least half of the other entries can be heard. An entry that hears fewer
  /// is probably cut off itself.
  bool HearsOthers = false;
  /// How many running entries come before this one as candidates.
  unsigned Order = 0;
  /// The last window that has ended.
  WindowNumber LastEnded = 0;
};

/// Settings of a reporter.
struct ReporterSettings {
  std::string Name;
  /// Time between the last call of one holder and the first one of the next.
  std::chrono::milliseconds Lease{3000};
  /// A holder's permission to send ends this long before its lease does, since
  /// a report takes time to arrive.
  std::chrono::milliseconds LeaseMargin{500};
};

/// Decides, for one entry, when to take over the duty of reporting usage, when
/// to fix a window and when to send it. One entry holds the duty at a time.
///
/// The report record in the store can be replaced only by an entry that has
/// read the current one, since every write names the offset that it follows.
/// An entry becomes holder by replacing the record with one that names itself;
/// the offset of this write and the store's era give its fencing token, so
/// tokens rise and are unique. The holder stores a window's counts before it
/// sends them, which fixes them: whoever sends the window again sends the same
/// counts.
///
/// A store that is restored from an older copy loses what was fixed last, and
/// gives out offsets again, so that a condition that names one may hold though
/// another entry has written since. Who takes over or goes on in a new era
/// therefore skips the windows that have ended: they may have been sent.
///
/// Nothing renews a lease in the background. A holder may send for less than
/// one lease from the start of a call to the store that has shown it to be the
/// holder, and reads the record again after that. A new holder waits for one
/// lease after it has taken over, so that its predecessor's permission has
/// ended. Times are on a clock that counts suspensions of the VM.
class UsageReporter {
public:
  /// Returns the windows after the given one that are ready to be fixed.
  using ReadyWindows = std::function<std::vector<WindowUsage>(WindowNumber)>;

  UsageReporter(ReporterSettings settings, base::TimePoint now);

  /// Returns what to do next; std::nullopt if there is nothing to do now. The
  /// result of an action has to be recorded before the next one is returned.
  std::optional<ReporterAction>
  nextAction(base::TimePoint now, const ReporterSurroundings &surroundings,
             const ReadyWindows &readyWindows);

  /// Records the result of a read; std::nullopt if it failed.
  void recordRead(const std::optional<RecordState> &state, base::TimePoint now);
  /// `era` is the store's era when it answered.
  void recordAppend(AppendResult result, std::uint64_t era,
                    base::TimePoint now);
  /// Records whether the platform accepted the report that was sent.
  void recordSent(bool accepted, base::TimePoint now);

  /// Records the announcement of another entry.
  void recordAnnouncement(const HolderAnnouncement &it, base::TimePoint now);
  /// Returns what to announce to the other entries; std::nullopt if this entry
  /// doesn't hold the duty or can't act at the moment.
  std::optional<HolderAnnouncement>
  announcement(base::TimePoint now, const ReporterSurroundings &it) const;
  /// Gives up the duty, since the process is about to end.
  void leave() { Leaving = true; }

  bool isHolder() const { return ActiveFrom.has_value(); }
  /// Returns whether neither this entry nor one that can be heard holds the
  /// duty.
  bool isHolderMissing(base::TimePoint now) const;
  std::uint64_t token() const { return Token; }
  /// Returns the last window known to be fixed.
  WindowNumber lastFixed() const;

private:
  enum class Phase {
    /// Another entry holds the duty, or this one may take over soon.
    Watching,
    /// The record has been read and may be replaced.
    Acquiring,
    /// This entry has replaced the record, or may have; it has to be read
    /// again.
    Verifying,
    /// This entry is the holder and waits until the previous one's permission
    /// has ended.
    Waiting,
    Holding,
  };

  std::optional<ReporterAction> candidateAction(base::TimePoint now,
                                                const ReporterSurroundings &it);
  std::optional<ReporterAction> holderAction(base::TimePoint now,
                                             const ReadyWindows &readyWindows);
  ReporterAction begin(ReporterAction action, base::TimePoint now);
  void considerRecord(const RecordState &state, base::TimePoint now);
  void verifyRecord(const RecordState &state, base::TimePoint now);
  void acquireAgain(const RecordState &state, base::TimePoint now);
  void skipEndedWindows();
  std::uint64_t nextToken() const;
  void becomeHolder(base::TimePoint now);
  void stepDown(base::TimePoint now);
  void recordStoreCall(bool succeeded, base::TimePoint now);
  void dropConfirmed();

  ReporterSettings Settings;
  Phase State = Phase::Watching;
  /// The action whose result hasn't been recorded, and when it began.
  std::optional<ReporterAction> Outstanding;
  base::TimePoint StartedAt;
  bool Leaving = false;
  ReportRecord Record;
  /// The end of the topic, and the era in which it was read.
  std::uint64_t End = 0;
  std::uint64_t Era = FirstStoreEra;
  /// The last window that had ended when the next action was asked for.
  WindowNumber LastEnded = 0;
  /// This entry's token; 0 unless it holds the duty or may hold it.
  std::uint64_t Token = 0;
  /// Set while this entry is the holder: when it may first act.
  std::optional<base::TimePoint> ActiveFrom;
  /// The permission to send ends at this time.
  base::TimePoint SendUntil;
  base::TimePoint RetryAt;
  /// When the first of a series of failed calls to the store was recorded.
  std::optional<base::TimePoint> FailingSince;
  std::set<WindowNumber> Confirmed;
  /// The highest token and fixed window of another holder that this entry knows
  /// of, and when it last had a sign of that holder.
  std::uint64_t KnownToken = 0;
  WindowNumber KnownFixed = 0;
  base::TimePoint LastSignAt;
};

} // namespace bergamot::usage

#endif
