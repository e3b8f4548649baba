#include "libbergamotrouting/fairqueue.h"

#include <algorithm>
#include <cmath>

namespace bergamot::routing {

namespace {

constexpr auto RateWindow = std::chrono::milliseconds(200);
constexpr double RateSmoothing = 0.3;
constexpr double MinRetryAfterSeconds = 0.05;
constexpr double MaxRetryAfterSeconds = 30;

} // namespace

FairQueue::FairQueue(const QueueSettings &settings) : Settings(settings) {}

QueueVerdict FairQueue::add(const QueuedRequest &request, TimePoint now) {
  if (Entries.contains(request.Request))
    return {Refusal::Duplicate, {}, {}};
  const Duration wait = expectedWait(request, now);
  const Duration retryAfter = fromSeconds(
      std::clamp(toSeconds(wait), MinRetryAfterSeconds, MaxRetryAfterSeconds));
  const TimePoint expiry = std::min(
      request.Deadline - request.ExpectedServiceTime, now + Settings.MaxWait);
  if (expiry <= now)
    return {Refusal::DeadlinePassed, retryAfter, {}};
  if (now + wait > expiry)
    return {Refusal::WaitTooLong, retryAfter, {}};
  std::optional<RequestId> evicted;
  if (Entries.size() >= Settings.RequestCapacity ||
      Bytes + request.Bytes > Settings.ByteCapacity) {
    evicted = evictToMakeRoomFor(request);
    if (!evicted)
      return {Refusal::QueueFull, retryAfter, {}};
  }
  if (Entries.empty()) {
    WindowStart = now;
    ServedCostInWindow = 0;
  }
  Level &level =
      Levels.try_emplace(request.Priority, Settings.Quantum).first->second;
  const auto position = level.add(request.Account, request.Weight, request);
  Bytes += request.Bytes;
  Entries.emplace(request.Request, Entry{request.Priority, position, expiry});
  ByExpiry.emplace(expiry, request.Request);
  return {Refusal::None, {}, evicted};
}

std::optional<RequestId> FairQueue::removeNext(TimePoint now) {
  if (Levels.empty())
    return std::nullopt;
  const QueuedRequest *next = Levels.begin()->second.next();
  const RequestId id = next->Request;
  addServedCost(next->Cost, now);
  removeEntry(Entries.find(id), true);
  return id;
}

std::vector<RequestId> FairQueue::removeExpired(TimePoint now) {
  std::vector<RequestId> expired;
  while (!ByExpiry.empty() && ByExpiry.begin()->first <= now) {
    expired.push_back(ByExpiry.begin()->second);
    removeEntry(Entries.find(expired.back()));
  }
  return expired;
}

bool FairQueue::remove(const RequestId &request) {
  const auto it = Entries.find(request);
  if (it == Entries.end())
    return false;
  removeEntry(it);
  return true;
}

Duration FairQueue::expectedWait(const QueuedRequest &request,
                                 TimePoint now) const {
  const double rate = servedCostPerSecond(now);
  if (rate <= 0)
    return {};
  double costAhead = 0;
  for (const auto &[priority, level] : Levels) {
    if (priority > request.Priority)
      break;
    if (priority < request.Priority) {
      costAhead += level.queuedCost();
      continue;
    }
    const Level::Account *account = level.find(request.Account);
    const double own = account ? account->QueuedCost : 0;
    const double totalWeight =
        level.totalWeight() + (account ? 0 : request.Weight);
    // The account's own requests are served at its share of the rate. The total
    // queued cost is the upper bound.
    costAhead += std::min(level.queuedCost(),
                          (own + request.Cost) * totalWeight / request.Weight);
  }
  return fromSeconds(std::min(MaxRetryAfterSeconds, costAhead / rate));
}

void FairQueue::removeEntry(std::unordered_map<RequestId, Entry>::iterator it,
                            bool isServed) {
  const Entry entry = it->second;
  const auto level = Levels.find(entry.Priority);
  const QueuedRequest &request = *entry.Position.Entry;
  Bytes -= request.Bytes;
  ByExpiry.erase({entry.Expiry, request.Request});
  if (isServed)
    level->second.removeServed(entry.Position);
  else
    level->second.remove(entry.Position);
  if (level->second.size() == 0)
    Levels.erase(level);
  Entries.erase(it);
}

std::optional<RequestId>
FairQueue::evictToMakeRoomFor(const QueuedRequest &request) {
  // Evicts from the least urgent priority, there from the account with the
  // highest cost per weight, and of that account the newest request.
  const auto lowest = std::prev(Levels.end());
  if (Levels.empty() || lowest->first < request.Priority)
    return std::nullopt;
  const auto costPerWeight = [](const Level::Account &account) {
    return account.QueuedCost / account.Weight;
  };
  const auto &accounts = lowest->second.accounts();
  const auto largest =
      std::max_element(accounts.begin(), accounts.end(),
                       [&](const Level::Account &a, const Level::Account &b) {
                         return costPerWeight(a) < costPerWeight(b);
                       });
  if (lowest->first == request.Priority) {
    const Level::Account *own = lowest->second.find(request.Account);
    const double cost = (own ? own->QueuedCost : 0) + request.Cost;
    if (largest->Id == request.Account ||
        cost / request.Weight >= costPerWeight(*largest))
      return std::nullopt;
  }
  const QueuedRequest &victim = largest->Waiting.back();
  if (Bytes - victim.Bytes + request.Bytes > Settings.ByteCapacity)
    return std::nullopt;
  const RequestId id = victim.Request;
  removeEntry(Entries.find(id));
  return id;
}

double FairQueue::servedCostPerSecond(TimePoint now) const {
  const Duration idleTime = now - std::max(LastServedAt, WindowStart);
  if (Entries.empty() || idleTime <= RateWindow)
    return ServedCostPerSecond;
  // Each window in which nothing was sent counts as a rate of 0.
  return ServedCostPerSecond *
         std::pow(1 - RateSmoothing,
                  toSeconds(idleTime) / toSeconds(RateWindow));
}

void FairQueue::addServedCost(double cost, TimePoint now) {
  ServedCostInWindow += cost;
  LastServedAt = now;
  const Duration elapsed = now - WindowStart;
  if (elapsed < RateWindow)
    return;
  const double rate = ServedCostInWindow / toSeconds(elapsed);
  ServedCostPerSecond =
      ServedCostPerSecond <= 0
          ? rate
          : ServedCostPerSecond + RateSmoothing * (rate - ServedCostPerSecond);
  ServedCostInWindow = 0;
  WindowStart = now;
}

} // namespace bergamot::routing
