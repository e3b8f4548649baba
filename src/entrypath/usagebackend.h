#ifndef BERGAMOT_ENTRYPATH_USAGEBACKEND_H
#define BERGAMOT_ENTRYPATH_USAGEBACKEND_H

#include "libbergamotusage/usagereporter.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::entrypath {

/// The calls that usage reports need: to the platform's store, and to the
/// service that accepts the reports. One call of each kind may be in progress
/// at a time; each ends at its `deadline` at the latest.
class UsageBackend {
public:
  using ReadCompletion =
      std::function<void(const std::optional<usage::RecordState> &)>;
  /// Gets the result and the store's era when it answered.
  using AppendCompletion =
      std::function<void(usage::AppendResult, std::uint64_t era)>;
  using Completion = std::function<void(bool succeeded)>;
  using StoredUsageCompletion =
      std::function<void(const std::vector<std::string> &values)>;

  virtual ~UsageBackend() = default;
  /// Reads the report record; the completion gets std::nullopt if that fails.
  virtual void readRecord(base::TimePoint deadline, ReadCompletion done) = 0;
  virtual void appendRecord(const usage::AppendRecord &it,
                            base::TimePoint deadline,
                            AppendCompletion done) = 0;
  /// Sends a report, unless `maySend` returns false immediately before.
  virtual void sendReport(const usage::SendReport &it, base::TimePoint deadline,
                          std::function<bool()> maySend, Completion done) = 0;
  /// Stores what an entry has counted; replaces what it has stored before.
  virtual void storeUsage(const std::string &entry, const std::string &value,
                          base::TimePoint deadline, Completion done) = 0;
  /// Reads what the entries have stored, as far as that succeeds.
  virtual void readStoredUsage(base::TimePoint deadline,
                               StoredUsageCompletion done) = 0;
};

} // namespace bergamot::entrypath

#endif
