#ifndef BERGAMOT_LIBBERGAMOTROUTING_BUFFERBUDGET_H
#define BERGAMOT_LIBBERGAMOTROUTING_BUFFERBUDGET_H

#include "libbergamotrouting/routingtypes.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace bergamot::routing {

/// Identifies a response stream within one process.
using StreamId = base::StrongId<std::uint64_t, struct StreamIdTag>;

/// Memory budget for the response streams of one process. Bytes are reserved
/// before a target may send them.
class BufferBudget {
public:
  /// A stream may be parked, that is, its buffer is discarded and the stream is
  /// resumed later, if its reader has read nothing for stallTime.
  BufferBudget(std::size_t capacity, Duration stallTime);

  void addStream(StreamId id, bool resumable, TimePoint now);

  /// Removes a stream and releases its reservation.
  void removeStream(StreamId id);

  /// Reserves as many of the bytes as the budget allows and returns their
  /// number.
  std::size_t reserve(StreamId id, std::size_t bytes);

  void release(StreamId id, std::size_t bytes);

  /// Records that the reader of a stream has read bytes.
  void recordRead(StreamId id, TimePoint now);

  /// Returns the stream to park if the budget is nearly used up: the resumable
  /// stream with reserved bytes whose reader has stalled the longest.
  std::optional<StreamId> parkCandidate(TimePoint now) const;

  std::size_t used() const { return Used; }
  std::size_t capacity() const { return Capacity; }

private:
  struct Stream {
    bool Resumable = false;
    std::size_t Reserved = 0;
    TimePoint LastReadAt;
  };

  void setReserved(StreamId id, Stream &stream, std::size_t bytes);

  std::size_t Capacity;
  Duration StallTime;
  std::size_t Used = 0;
  std::unordered_map<StreamId, Stream> Streams;
  /// Resumable streams with reserved bytes, longest stalled first.
  std::set<std::pair<TimePoint, StreamId>> Parkable;
};

} // namespace bergamot::routing

#endif
