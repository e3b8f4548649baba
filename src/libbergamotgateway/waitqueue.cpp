#include "libbergamotgateway/waitqueue.h"

namespace bergamot::gateway {

void WaitQueue::add(const WaitingRequest &request, TimePoint now) {
  const Rank rank{request.InTimeUntil <= now, request.Priority,
                  request.ArrivedAt, request.Number};
  Waiting.emplace(rank, request);
  ByNumber.emplace(request.Number, rank);
  Late += rank.IsLate ? 1 : 0;
}

void WaitQueue::remove(std::uint64_t number) {
  const auto it = ByNumber.find(number);
  if (it == ByNumber.end())
    return;
  Late -= it->second.IsLate ? 1 : 0;
  Waiting.erase(it->second);
  ByNumber.erase(it);
}

const WaitingRequest *WaitQueue::next() const {
  return Waiting.empty() ? nullptr : &Waiting.begin()->second;
}

std::vector<WaitingRequest> WaitQueue::moveLate(TimePoint now) {
  std::vector<WaitingRequest> moved;
  for (const auto &[rank, request] : Waiting)
    if (!rank.IsLate && request.InTimeUntil <= now)
      moved.push_back(request);
  for (const auto &it : moved) {
    remove(it.Number);
    add(it, now);
  }
  return moved;
}

std::vector<WaitingRequest> WaitQueue::takeUseless(TimePoint now) {
  std::vector<WaitingRequest> useless;
  for (const auto &[rank, request] : Waiting)
    if (request.UsefulUntil <= now)
      useless.push_back(request);
  for (const auto &it : useless)
    remove(it.Number);
  return useless;
}

} // namespace bergamot::gateway
