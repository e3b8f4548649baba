#ifndef BERGAMOT_ENTRYPATH_COMPACTEDTOPIC_H
#define BERGAMOT_ENTRYPATH_COMPACTEDTOPIC_H

#include "libbergamotbase/timetypes.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::entrypath {

/// One record of a compacted topic. A record without a value marks the removal
/// of its key.
struct TopicRecord {
  std::string Key;
  std::optional<std::string> Value;
  std::uint64_t Offset = 0;
};

/// Result of a read from a compacted topic.
struct ReadResult {
  enum class ReadStatus {
    Read,
    /// The store is unreachable or refused the call.
    Unavailable,
    /// Records after the requested offset were deleted by compaction; the
    /// newest record of each key remains.
    Compacted,
  };

  ReadStatus Status = ReadStatus::Unavailable;
  std::vector<TopicRecord> Records;
  /// Offset that the topic's next record will get.
  std::uint64_t TopicEnd = 0;
  /// The store's era, which rises each time that the store is restored from an
  /// older copy. Offsets of different eras have nothing to do with each other.
  /// 0 if the store doesn't state it.
  std::uint64_t Era = 0;
  /// Only for readNewest(): the topic has further keys.
  bool HasMore = false;
};

/// Interface to one compacted topic (a "keyed topic" in the platform's store):
/// for each key, at least the newest record is retained. Only one call may be
/// in progress at a time; it fails at its `deadline`.
class CompactedTopic {
public:
  using Completion = std::function<void(const ReadResult &)>;

  virtual ~CompactedTopic() = default;
  /// Reads the newest record of each key that sorts after `afterKey`.
  virtual void readNewest(const std::string &afterKey, base::TimePoint deadline,
                          Completion completion) = 0;
  /// Reads the records from an offset on; if there are none, the store waits
  /// for new ones until `longPollUntil`.
  virtual void read(std::uint64_t from, base::TimePoint longPollUntil,
                    base::TimePoint deadline, Completion completion) = 0;
  /// Cancels the call in progress, if any; its completion isn't called.
  virtual void cancel() = 0;
};

} // namespace bergamot::entrypath

#endif
