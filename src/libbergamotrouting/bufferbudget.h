#ifndef BERGAMOT_LIBBERGAMOTROUTING_BUFFERBUDGET_H
#define BERGAMOT_LIBBERGAMOTROUTING_BUFFERBUDGET_H

#include "libbergamotrouting/routingtypes.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace bergamot::routing {

/// Identifies a response stream within one process.
using StreamId = base::StrongId<std::uint64_t, struct StreamIdTag>;

/// Memory for the response streams of one process. Bytes are reserved before
/// a target may send them.
class BufferBudget {
public:
  /// A stream whose reader has taken nothing for stallTime may be parked.
  BufferBudget(std::size_t capacity, Duration stallTime);

  void addStream(StreamId id, bool resumable, TimePoint now);

  /// Forgets a stream and releases what it had reserved.
  void removeStream(StreamId id);

  /// Reserves up to the bytes asked for and returns how many were reserved.
  std::size_t reserve(StreamId id, std::size_t bytes);

  void release(StreamId id, std::size_t bytes);

  /// Records that the reader of a stream has taken bytes.
  void setProgress(StreamId id, TimePoint now);

  /// Returns the resumable stream with bytes reserved whose reader has been
  /// stalled the longest, if the budget is short: parking it frees memory.
  std::optional<StreamId> parkCandidate(TimePoint now) const;

  std::size_t used() const { return Used; }
  std::size_t capacity() const { return Capacity; }

private:
  struct Stream {
    bool Resumable = false;
    std::size_t Reserved = 0;
    TimePoint ProgressAt;
  };

  void setReserved(StreamId id, Stream &stream, std::size_t bytes);

  std::size_t Capacity;
  Duration StallTime;
  std::size_t Used = 0;
  std::unordered_map<StreamId, Stream> Streams;
  /// Resumable streams with bytes reserved, the longest stalled first.
  std::set<std::pair<TimePoint, StreamId>> Parkable;
};

} // namespace bergamot::routing

#endif
