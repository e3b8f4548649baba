#ifndef BERGAMOT_STANDIN_LOGSTORE_H
#define BERGAMOT_STANDIN_LOGSTORE_H

#include "libbergamotbase/timetypes.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::standin {

/// Record of a log stream.
struct StoredRecord {
  std::uint64_t Offset = 0;
  base::WallTime Time;
  std::string Text;
};

/// Answer to a read: records, where to read on, and the first offset that the
/// stream still has.
struct StoredRecords {
  std::vector<StoredRecord> Records;
  std::uint64_t Next = 0;
  std::uint64_t Earliest = 0;
};

/// How much the log keeps and takes.
struct LogStoreOptions {
  std::size_t MaxRecordsPerStream = 1000000;
  std::chrono::milliseconds MaxAge{std::chrono::hours(24)};
  /// Appends beyond this are refused; 0 means no limit.
  double AppendsPerSecond = 0;
};

/// The append-only streams of the platform's log, in memory. Safe to use from
/// several threads.
class LogStore {
public:
  explicit LogStore(const LogStoreOptions &options);

  /// Appends the records as one batch and returns the first offset, or
  /// nothing if the rate of appends is exceeded.
  std::optional<std::uint64_t> append(const std::string &stream,
                                      const std::vector<std::string> &records);

  /// Returns at most limit records from the offset on, or from the earliest
  /// kept if that is later. Waits up to the deadline for the first one.
  StoredRecords read(const std::string &stream, std::uint64_t from,
                     std::size_t limit, base::TimePoint deadline);

  /// Removes the records before the offset.
  void removeBefore(const std::string &stream, std::uint64_t offset);

  /// Returns the next offset of each stream.
  std::map<std::string, std::uint64_t> ends() const;

private:
  struct Stream {
    std::deque<StoredRecord> Records;
    std::uint64_t Next = 0;
  };

  bool takeAppend();
  void expire(Stream &stream) const;

  LogStoreOptions Options;
  mutable std::mutex Mutex;
  std::condition_variable Appended;
  std::map<std::string, Stream> Streams;
  double Tokens;
  base::TimePoint TokensAt;
};

} // namespace bergamot::standin

#endif
