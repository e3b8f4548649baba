#include "libbergamotgateway/waitqueue.h"

#include <algorithm>
#include <utility>

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

void WaitQueue::setSettings(const WaitSettings &settings) {
  if (Settings == settings)
    return;
  Settings = settings;
  const auto waiting = std::exchange(Waiting, {});
  for (const auto &[key, request] : waiting) {
    erase(request.SequenceNumber, false);
    insert(request, key.IsLate);
  }
}

void WaitQueue::add(const WaitingRequest &request, TimePoint now) {
  insert(request, request.OnTimeUntil <= now);
}

void WaitQueue::insert(const WaitingRequest &request, bool isLate) {
  const bool takesTurn =
      Settings.FairAccounts && !isLate && !request.WasSentBefore;
  const OrderKey key{isLate, request.Priority, takesTurn, request.ArrivedAt,
                     request.SequenceNumber};
  Level &level = Levels[request.Priority];
  Place place{key, {}};
  if (takesTurn)
    place.Turn = level.AccountTurns.add(base::AccountId{request.Account}, 1,
                                        {request.SequenceNumber});
  Waiting.emplace(key, request);
  BySequenceNumber.emplace(request.SequenceNumber, place);
  LateCount += isLate ? 1 : 0;
  level.OnTimeWaiting += isLate ? 0 : 1;
}

void WaitQueue::erase(std::uint64_t sequenceNumber, bool wasSent) {
  const auto it = BySequenceNumber.find(sequenceNumber);
  if (it == BySequenceNumber.end())
    return;
  const Place &place = it->second;
  Level &level = Levels[place.Key.Priority];
  if (place.Key.TakesTurn && wasSent)
    level.AccountTurns.removeServed(place.Turn);
  else if (place.Key.TakesTurn)
    level.AccountTurns.remove(place.Turn);
  LateCount -= place.Key.IsLate ? 1 : 0;
  level.OnTimeWaiting -= place.Key.IsLate ? 0 : 1;
  Waiting.erase(place.Key);
  BySequenceNumber.erase(it);
}

void WaitQueue::remove(std::uint64_t sequenceNumber) {
  erase(sequenceNumber, false);
}

void WaitQueue::removeSent(std::uint64_t sequenceNumber, TimePoint now) {
  const auto it = BySequenceNumber.find(sequenceNumber);
  if (it == BySequenceNumber.end())
    return;
  expireCounts(now);
  const OrderKey &key = it->second.Key;
  if (!Waiting.at(key).WasSentBefore)
    Levels[key.Priority].Sent.add(now);
  erase(sequenceNumber, true);
}

const WaitingRequest *WaitQueue::next() {
  if (Waiting.empty())
    return nullptr;
  const auto &[key, first] = *Waiting.begin();
  if (key.IsLate || first.WasSentBefore)
    return &first;
  if (Settings.CountsByPriority)
    for (const auto &[priority, level] : Levels)
      if (priority > first.Priority && level.OnTimeWaiting > 0 &&
          dueSends(level) > 0)
        return firstOnTime(priority);
  return firstOnTime(first.Priority);
}

std::optional<std::size_t> WaitQueue::onTimeAhead(const WaitingRequest &request,
                                                  TimePoint now) const {
  if (Settings == WaitSettings() || request.WasSentBefore ||
      request.OnTimeUntil <= now)
    return std::nullopt;
  std::size_t ahead = 0;
  for (const auto &[priority, level] : Levels) {
    if (priority != request.Priority) {
      if (priority < request.Priority || !Settings.CountsByPriority)
        ahead += level.OnTimeWaiting;
      continue;
    }
    const std::size_t inLevel = aheadInLevel(level, request.Account);
    if (Settings.CountsByPriority && inLevel < dueSends(level))
      return inLevel;
    ahead += inLevel;
  }
  return ahead;
}

std::size_t WaitQueue::moreUrgentArrivals(std::uint32_t priority,
                                          bool wasSentBefore) const {
  if (!Settings.CountsByPriority || wasSentBefore)
    return 0;
  std::size_t arrivals = 0;
  for (const auto &[levelPriority, level] : Levels) {
    if (levelPriority == priority && dueSends(level) > 0)
      return 0;
    if (levelPriority < priority)
      arrivals += level.Arrived.storedCount();
  }
  return arrivals;
}

std::vector<const WaitingRequest *> WaitQueue::expectedOrder() const {
  std::vector<const WaitingRequest *> order;
  std::vector<const WaitingRequest *> undue;
  for (const auto &[priority, level] : Levels) {
    std::vector<const WaitingRequest *> ofLevel;
    ofLevel.reserve(level.OnTimeWaiting);
    const auto first =
        Waiting.lower_bound({false, priority, false, TimePoint::min(), 0});
    for (auto it = first;
         ofLevel.size() + level.AccountTurns.size() < level.OnTimeWaiting; ++it)
      ofLevel.push_back(&it->second);
    for (const Turn *it : level.AccountTurns.inOrder())
      ofLevel.push_back(
          &Waiting.at(BySequenceNumber.at(it->SequenceNumber).Key));
    // The most urgent requests go first after those that are due.
    const std::size_t due =
        Settings.CountsByPriority && !undue.empty() ? dueSends(level) : 0;
    const auto middle = ofLevel.begin() + static_cast<std::ptrdiff_t>(
                                              std::min(due, ofLevel.size()));
    order.insert(order.end(), ofLevel.begin(), middle);
    undue.insert(undue.end(), middle, ofLevel.end());
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

const WaitingRequest *WaitQueue::firstOnTime(std::uint32_t priority) {
  const auto first =
      Waiting.lower_bound({false, priority, false, TimePoint::min(), 0});
  if (!first->first.TakesTurn)
    return &first->second;
  const Turn *turn = Levels[priority].AccountTurns.next();
  return &Waiting.at(BySequenceNumber.at(turn->SequenceNumber).Key);
}

std::size_t WaitQueue::aheadInLevel(const Level &level,
                                    const std::string &account) const {
  if (!Settings.FairAccounts)
    return level.OnTimeWaiting;
  return level.OnTimeWaiting - level.AccountTurns.size() +
         level.AccountTurns.countAhead(base::AccountId{account});
}

void WaitQueue::expireCounts(TimePoint now) {
  for (auto &[priority, level] : Levels) {
    level.Arrived.count(now);
    level.Sent.count(now);
  }
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
