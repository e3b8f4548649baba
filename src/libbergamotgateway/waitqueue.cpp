#include "libbergamotgateway/waitqueue.h"

#include <algorithm>

namespace bergamot::gateway {

void WaitQueue::add(const WaitingRequest &request) {
  const Rank rank{request.Priority, request.ArrivedAt, request.Number};
  Waiting.emplace(rank, request);
  ByNumber.emplace(request.Number, rank);
}

void WaitQueue::remove(std::uint64_t number) {
  const auto it = ByNumber.find(number);
  if (it == ByNumber.end())
    return;
  Waiting.erase(it->second);
  ByNumber.erase(it);
}

const WaitingRequest *WaitQueue::next() const {
  return Waiting.empty() ? nullptr : &Waiting.begin()->second;
}

std::vector<WaitingRequest> WaitQueue::takeExpired(TimePoint now,
                                                   bool standstill) {
  std::vector<WaitingRequest> expired;
  for (const auto &[rank, request] : Waiting) {
    const TimePoint at =
        standstill ? std::max(request.RejectAt, request.RejectAtStandstill)
                   : request.RejectAt;
    if (at <= now)
      expired.push_back(request);
  }
  for (const auto &it : expired)
    remove(it.Number);
  return expired;
}

std::size_t WaitQueue::countBefore(std::uint32_t priority) const {
  std::size_t n = 0;
  for (const auto &[rank, request] : Waiting) {
    if (rank.Priority > priority)
      break;
    ++n;
  }
  return n;
}

} // namespace bergamot::gateway
