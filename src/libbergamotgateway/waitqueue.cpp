#include "libbergamotgateway/waitqueue.h"

namespace bergamot::gateway {

void WaitQueue::add(const WaitingRequest &request, TimePoint now) {
  const OrderKey key{request.OnTimeUntil <= now, request.Priority,
                     request.ArrivedAt, request.SequenceNumber};
  Waiting.emplace(key, request);
  BySequenceNumber.emplace(request.SequenceNumber, key);
  LateCount += key.IsLate ? 1 : 0;
}

void WaitQueue::remove(std::uint64_t sequenceNumber) {
  const auto it = BySequenceNumber.find(sequenceNumber);
  if (it == BySequenceNumber.end())
    return;
  LateCount -= it->second.IsLate ? 1 : 0;
  Waiting.erase(it->second);
  BySequenceNumber.erase(it);
}

const WaitingRequest *WaitQueue::next() const {
  return Waiting.empty() ? nullptr : &Waiting.begin()->second;
}

std::map<std::uint32_t, std::uint32_t> WaitQueue::onTimeCounts() const {
  std::map<std::uint32_t, std::uint32_t> counts;
  for (const auto &[key, request] : Waiting)
    if (!key.IsLate)
      ++counts[key.Priority];
  return counts;
}

std::vector<WaitingRequest> WaitQueue::demoteLate(TimePoint now) {
  std::vector<WaitingRequest> demoted;
  for (const auto &[key, request] : Waiting)
    if (!key.IsLate && request.OnTimeUntil <= now)
      demoted.push_back(request);
  for (const auto &it : demoted) {
    remove(it.SequenceNumber);
    add(it, now);
  }
  return demoted;
}

std::vector<WaitingRequest> WaitQueue::takeExpired(TimePoint now) {
  std::vector<WaitingRequest> expired;
  for (const auto &[key, request] : Waiting)
    if (request.ExpiresAt <= now)
      expired.push_back(request);
  for (const auto &it : expired)
    remove(it.SequenceNumber);
  return expired;
}

} // namespace bergamot::gateway
