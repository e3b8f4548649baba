#ifndef BERGAMOT_LIBBERGAMOTUSAGE_USAGELEDGER_H
#define BERGAMOT_LIBBERGAMOTUSAGE_USAGELEDGER_H

#include "libbergamotusage/windowusage.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::usage {

/// The process that counted: an entry, and a number that distinguishes its
/// starts.
struct UsageSource {
  std::string Entry;
  std::uint64_t Incarnation = 0;

  auto operator<=>(const UsageSource &) const = default;
};

/// What one process has counted in one window.
struct SourceUsage {
  WindowUsage Usage;
  /// The number of requests of all accounts, once the window has ended at the
  /// source and its counts no longer change.
  std::optional<std::uint64_t> FinalTotal;

  /// Returns whether the counts are final and complete; they may arrive in
  /// several parts.
  bool isFinal() const { return FinalTotal == totalRequests(Usage.Counts); }
};

/// Settings of a ledger.
struct LedgerSettings {
  std::chrono::milliseconds WindowLength{5000};
  /// A source's counts are final this long after the end of a window: a request
  /// is counted a little after it has begun to run.
  std::chrono::milliseconds SettleTime{300};
  /// How long after the end of a window sources are waited for whose counts
  /// aren't final, for example because they were killed or are cut off.
  std::chrono::milliseconds Patience{2000};
  /// How many windows are kept after their end.
  WindowNumber RetainedWindows = 6;
};

/// The usage of recent windows by the process that counted it. Counts of a
/// source only grow, so merging the same counts again, or older ones, changes
/// nothing: messages may be lost, repeated and reordered.
class UsageLedger {
public:
  UsageLedger(UsageSource own, const LedgerSettings &settings);

  /// Counts one request of this process. A request of a window whose counts are
  /// final already is counted in the following window that isn't.
  void addRequest(const std::string &account, base::WallTime begunAt);
  /// Starts and finalizes this process's windows as time passes, and drops old
  /// ones.
  void advance(base::WallTime now);
  /// Merges the counts of another process. Windows that aren't near the current
  /// one are ignored.
  void merge(const UsageSource &source, const SourceUsage &it);

  /// Returns this process's counts of all windows after `window`.
  std::vector<SourceUsage> ownUsage(WindowNumber window) const;
  /// Returns the sum over all sources.
  AccountCounts total(WindowNumber window) const;
  /// Returns the number of requests of a window by entry.
  std::map<std::string, std::uint64_t> totalByEntry(WindowNumber window) const;
  /// Returns whether counts of a window may still be missing: a source hasn't
  /// finalized it, or has finalized the window before and not yet mentioned
  /// this one.
  bool hasOpenSources(WindowNumber window) const;
  /// Returns the usage of the windows after `window` that have ended and whose
  /// sources are all final, or have been waited for; in order, up to the first
  /// window that isn't complete.
  std::vector<WindowUsage> completeWindows(WindowNumber window,
                                           base::WallTime now) const;
  /// Returns the newest window after `window` that ended at least `delay` ago
  /// and has open sources; 0 if there is none.
  WindowNumber openWindow(WindowNumber window, base::WallTime now,
                          std::chrono::milliseconds delay) const;

  const UsageSource &ownSource() const { return Own; }
  const LedgerSettings &settings() const { return Settings; }

private:
  UsageSource Own;
  LedgerSettings Settings;
  std::map<WindowNumber, std::map<UsageSource, SourceUsage>> Windows;
  WindowNumber CurrentWindow = 0;
  /// Windows before this one are final at this process.
  WindowNumber FirstOpenWindow = 0;
};

} // namespace bergamot::usage

#endif
