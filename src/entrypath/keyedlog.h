#ifndef BERGAMOT_ENTRYPATH_KEYEDLOG_H
#define BERGAMOT_ENTRYPATH_KEYEDLOG_H

#include "libbergamotbase/timetypes.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::entrypath {

/// One record of a keyed topic. A record without a value marks the key's
/// removal.
struct KeyedRecord {
  std::string Key;
  std::optional<std::string> Value;
  std::uint64_t Offset = 0;
};

/// Result of a read from a keyed topic.
struct KeyedPage {
  enum class Outcome {
    Read,
    /// The store is unreachable or refused the call.
    Unavailable,
    /// Records after the requested offset were deleted by compaction; the
    /// newest record of each key still exists.
    Compacted,
  };

  Outcome Result = Outcome::Unavailable;
  std::vector<KeyedRecord> Records;
  /// Offset after the last record of the topic.
  std::uint64_t End = 0;
  /// Only for newest(): the topic has further keys.
  bool HasMore = false;
};

/// Interface to one keyed topic of the platform's store. Only one call may be
/// in progress at a time.
class KeyedLog {
public:
  using Completion = std::function<void(const KeyedPage &)>;

  virtual ~KeyedLog() = default;
  /// Reads the newest record of each key that sorts after the key `after`.
  virtual void newest(const std::string &after, base::TimePoint deadline,
                      Completion completion) = 0;
  /// Reads the records from an offset on; if there are none, waits for new ones
  /// until `waitUntil`.
  virtual void read(std::uint64_t from, base::TimePoint waitUntil,
                    base::TimePoint deadline, Completion completion) = 0;
  /// Cancels the call in progress, if any; its completion isn't called.
  virtual void cancel() = 0;
};

} // namespace bergamot::entrypath

#endif
