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

/// One record of a keyed topic. Without a value, the key was removed.
struct KeyedRecord {
  std::string Key;
  std::optional<std::string> Value;
  std::uint64_t Offset = 0;
};

/// Result of a read from a keyed topic.
struct KeyedPage {
  enum class Outcome {
    Read,
    /// The store can't be reached or refuses to serve.
    Unavailable,
    /// Records after the requested offset have been deleted; the newest record
    /// of each key is still there.
    Compacted,
  };

  Outcome Result = Outcome::Unavailable;
  std::vector<KeyedRecord> Records;
  /// Offset behind the last record of the topic.
  std::uint64_t End = 0;
  /// Only for newest(): there are further keys.
  bool HasMore = false;
};

/// Port to one keyed topic of the platform's store. One call at a time.
class KeyedLog {
public:
  using Completion = std::function<void(const KeyedPage &)>;

  virtual ~KeyedLog() = default;
  /// Reads the newest record of each key behind the key `after`.
  virtual void newest(const std::string &after, base::TimePoint deadline,
                      Completion completion) = 0;
  /// Reads the records from an offset on; if there are none, waits for some
  /// until `waitUntil`.
  virtual void read(std::uint64_t from, base::TimePoint waitUntil,
                    base::TimePoint deadline, Completion completion) = 0;
  /// Ends the call in progress, if any, without completion.
  virtual void cancel() = 0;
};

} // namespace bergamot::entrypath

#endif
