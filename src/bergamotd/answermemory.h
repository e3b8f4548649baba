#ifndef BERGAMOT_BERGAMOTD_ANSWERMEMORY_H
#define BERGAMOT_BERGAMOTD_ANSWERMEMORY_H

#include "libbergamotrouting/bufferbudget.h"

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>

namespace bergamot::bergamotd {

/// Memory that all answers of an entry share. One lock guards the budget and
/// all streams, as parking a stream touches both; it is held for copies of at
/// most one window.
class AnswerMemory {
public:
  /// Parks a stream; called with the lock held.
  using ParkFunction = std::function<void()>;

  AnswerMemory(std::size_t capacityBytes, base::Duration stallTime)
      : Budget(capacityBytes, stallTime) {}

  std::mutex Mutex;
  routing::BufferBudget Budget;

  /// Returns an id for a new stream and registers how to park it. The lock
  /// must be held, also for the other functions.
  routing::StreamId addStream(ParkFunction park);
  void removeStream(routing::StreamId id);

  /// Parks the stream that has been stalled the longest, if memory is short.
  void makeRoom(base::TimePoint now);

private:
  std::uint64_t LastId = 0;
  std::map<routing::StreamId, ParkFunction> ParkFunctions;
};

} // namespace bergamot::bergamotd

#endif
