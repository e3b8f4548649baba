#include "libbergamotrouting/bufferbudget.h"

#include <algorithm>

namespace bergamot::routing {

namespace {

// Fraction of the budget in use from which streams are parked. It is below 1 so
// that new streams needn't wait for a cancellation.
constexpr double ParkThreshold = 0.9;

} // namespace

BufferBudget::BufferBudget(std::size_t capacity, Duration stallTime)
    : Capacity(capacity), StallTime(stallTime) {}

void BufferBudget::addStream(StreamId id, bool resumable, TimePoint now) {
  Streams.try_emplace(id, Stream{resumable, 0, now});
}

void BufferBudget::removeStream(StreamId id) {
  const auto it = Streams.find(id);
  if (it == Streams.end())
    return;
  setReserved(id, it->second, 0);
  Streams.erase(it);
}

std::size_t BufferBudget::reserve(StreamId id, std::size_t bytes) {
  const auto it = Streams.find(id);
  if (it == Streams.end())
    return 0;
  const std::size_t n = std::min(bytes, Capacity - Used);
  setReserved(id, it->second, it->second.Reserved + n);
  return n;
}

void BufferBudget::release(StreamId id, std::size_t bytes) {
  const auto it = Streams.find(id);
  if (it != Streams.end())
    setReserved(id, it->second,
                it->second.Reserved - std::min(bytes, it->second.Reserved));
}

void BufferBudget::recordRead(StreamId id, TimePoint now) {
  const auto it = Streams.find(id);
  if (it == Streams.end())
    return;
  Stream &stream = it->second;
  if (Parkable.erase({stream.LastReadAt, id}) > 0)
    Parkable.emplace(now, id);
  stream.LastReadAt = now;
}

std::optional<StreamId> BufferBudget::parkCandidate(TimePoint now) const {
  if (Parkable.empty() ||
      static_cast<double>(Used) < ParkThreshold * static_cast<double>(Capacity))
    return std::nullopt;
  const auto &[lastReadAt, id] = *Parkable.begin();
  if (now - lastReadAt < StallTime)
    return std::nullopt;
  return id;
}

void BufferBudget::setReserved(StreamId id, Stream &stream, std::size_t bytes) {
  Used = Used - stream.Reserved + bytes;
  stream.Reserved = bytes;
  if (stream.Resumable && bytes > 0)
    Parkable.emplace(stream.LastReadAt, id);
  else
    Parkable.erase({stream.LastReadAt, id});
}

} // namespace bergamot::routing
