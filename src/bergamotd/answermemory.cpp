#include "bergamotd/answermemory.h"

#include <utility>

namespace bergamot::bergamotd {

routing::StreamId AnswerMemory::addStream(ParkFunction park) {
  const routing::StreamId id{++LastId};
  ParkFunctions.emplace(id, std::move(park));
  return id;
}

void AnswerMemory::removeStream(routing::StreamId id) {
  ParkFunctions.erase(id);
}

void AnswerMemory::makeRoom(base::TimePoint now) {
  const auto candidate = Budget.parkCandidate(now);
  if (!candidate)
    return;
  const auto it = ParkFunctions.find(*candidate);
  if (it != ParkFunctions.end())
    it->second();
}

} // namespace bergamot::bergamotd
