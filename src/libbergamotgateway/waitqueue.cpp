#include "libbergamotgateway/waitqueue.h"

#include <algorithm>

namespace bergamot::gateway {

namespace {

/// Each priority is served at least this part as often as all requests,
/// relative to its arrivals. Less urgent requests must not be starved.
constexpr std::size_t MinShareDivisor = 4;

} // namespace

void WaitQueue::recordArrival(std::uint32_t priority, TimePoint now) {
  expireCounts(now);
  Levels[priority].Arrived.add(now);
}

void WaitQueue::add(const WaitingRequest &request, TimePoint now) {
  const OrderKey key{request.OnTimeUntil <= now, request.Priority,
                     request.ArrivedAt, request.SequenceNumber};
  Waiting.emplace(key, request);
  BySequenceNumber.emplace(request.SequenceNumber, key);
  LateCount += key.IsLate ? 1 : 0;
  Levels[request.Priority].OnTimeWaiting += key.IsLate ? 0 : 1;
}

void WaitQueue::remove(std::uint64_t sequenceNumber) {
  const auto it = BySequenceNumber.find(sequenceNumber);
  if (it == BySequenceNumber.end())
    return;
  LateCount -= it->second.IsLate ? 1 : 0;
  Levels[it->second.Priority].OnTimeWaiting -= it->second.IsLate ? 0 : 1;
  Waiting.erase(it->second);
  BySequenceNumber.erase(it);
}

void WaitQueue::removeSent(std::uint64_t sequenceNumber, TimePoint now) {
  const auto it = BySequenceNumber.find(sequenceNumber);
  if (it == BySequenceNumber.end())
    return;
  expireCounts(now);
  if (!Waiting.at(it->second).WasSentBefore)
    Levels[it->second.Priority].Sent.add(now);
  remove(sequenceNumber);
}

const WaitingRequest *WaitQueue::next() const {
  if (Waiting.empty())
    return nullptr;
  const auto &[key, first] = *Waiting.begin();
  if (!Settings.CountsByPriority || key.IsLate || first.WasSentBefore)
    return &first;
  for (const auto &[priority, level] : Levels)
    if (priority > first.Priority && level.OnTimeWaiting > 0 &&
        dueSends(level) > 0)
      return firstOnTime(priority);
  return &first;
}

std::optional<std::size_t> WaitQueue::onTimeAhead(const WaitingRequest &request,
                                                  TimePoint now) const {
  if (!Settings.CountsByPriority || request.WasSentBefore ||
      request.OnTimeUntil <= now)
    return std::nullopt;
  std::size_t ahead = 0;
  for (const auto &[priority, level] : Levels) {
    if (priority > request.Priority)
      break;
    if (priority == request.Priority && level.OnTimeWaiting < dueSends(level))
      return level.OnTimeWaiting;
    ahead += level.OnTimeWaiting;
  }
  return ahead;
}

std::vector<const WaitingRequest *> WaitQueue::expectedOrder() const {
  std::vector<const WaitingRequest *> order;
  std::vector<const WaitingRequest *> undue;
  for (const auto &[priority, level] : Levels) {
    if (level.OnTimeWaiting == 0)
      continue;
    // The most urgent requests go first after those that are due.
    std::size_t due =
        Settings.CountsByPriority && !undue.empty() ? dueSends(level) : 0;
    auto it = Waiting.lower_bound({false, priority, TimePoint::min(), 0});
    for (std::size_t i = 0; i < level.OnTimeWaiting; ++i, ++it)
      (i < due ? order : undue).push_back(&it->second);
  }
  order.insert(order.end(), undue.begin(), undue.end());
  return order;
}

std::size_t WaitQueue::dueSends(const Level &level) const {
  std::size_t arrived = 0;
  std::size_t sent = 0;
  for (const auto &[priority, it] : Levels) {
    arrived += it.Arrived.storedCount();
    sent += it.Sent.storedCount();
  }
  if (arrived == 0)
    return 0;
  // Rounded up, since at a small entry the share is less than one send a
  // second.
  const std::size_t divisor = MinShareDivisor * arrived;
  const std::size_t share =
      (sent * level.Arrived.storedCount() + divisor - 1) / divisor;
  return share - std::min(share, level.Sent.storedCount());
}

const WaitingRequest *WaitQueue::firstOnTime(std::uint32_t priority) const {
  return &Waiting.lower_bound({false, priority, TimePoint::min(), 0})->second;
}

void WaitQueue::expireCounts(TimePoint now) {
  for (auto &[priority, level] : Levels) {
    level.Arrived.count(now);
    level.Sent.count(now);
  }
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
