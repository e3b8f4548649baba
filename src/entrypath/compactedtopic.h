#ifndef BERGAMOT_ENTRYPATH_COMPACTEDTOPIC_H
#define BERGAMOT_ENTRYPATH_COMPACTEDTOPIC_H

#include "libbergamotbase/timetypes.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::entrypath {

/// A place in a topic's log. The store can be restored from an older copy, and
/// then gives out offsets again; each restoration begins an era. Places of a
/// later era come after all places of earlier ones.
struct TopicPosition {
  /// 0 if the store doesn't state its era.
  std::uint64_t Era = 0;
  std::uint64_t Offset = 0;

  auto operator<=>(const TopicPosition &) const = default;
};

/// The era of a store that has never been restored.
constexpr std::uint64_t FirstEra = 1;

/// Returns the era that a response states; a store that states none is taken
/// not to have been restored.
constexpr std::uint64_t eraOrFirst(std::uint64_t stated) {
  return std::max(stated, FirstEra);
}

/// One record of a compacted topic. A record without a value marks the removal
/// of its key.
struct TopicRecord {
  std::string Key;
  std::optional<std::string> Value;
  TopicPosition Position;
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
  /// The store's era when it answered; 0 if it doesn't state it.
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
