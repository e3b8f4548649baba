#include "libbergamotrouting/fairqueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

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
  Level &level = Levels[request.Priority];
  const auto flow = findOrAddFlow(level, request);
  flow->Waiting.push_back(request);
  flow->QueuedCost += request.Cost;
  level.QueuedCost += request.Cost;
  Bytes += request.Bytes;
  Entries.emplace(
      request.Request,
      Entry{request.Priority, flow, std::prev(flow->Waiting.end()), expiry});
  ByExpiry.emplace(expiry, request.Request);
  return {Refusal::None, {}, evicted};
}

std::optional<RequestId> FairQueue::removeNext(TimePoint now) {
  if (Levels.empty())
    return std::nullopt;
  Level &level = Levels.begin()->second;
  for (std::size_t rotations = 0;;) {
    Flow &flow = level.Flows.front();
    const QueuedRequest &next = flow.Waiting.front();
    if (!flow.QuantumGranted) {
      flow.QuantumGranted = true;
      flow.Deficit += Settings.Quantum * flow.Weight;
    }
    if (flow.Deficit >= next.Cost) {
      flow.Deficit -= next.Cost;
      const RequestId id = next.Request;
      addServedCost(next.Cost, now);
      removeEntry(Entries.find(id));
      return id;
    }
    flow.QuantumGranted = false;
    level.Flows.splice(level.Flows.end(), level.Flows, level.Flows.begin());
    if (++rotations == level.Flows.size()) {
      skipRounds(level);
      rotations = 0;
    }
  }
}

void FairQueue::skipRounds(Level &level) const {
  double rounds = std::numeric_limits<double>::max();
  for (const auto &flow : level.Flows)
    rounds = std::min(rounds, (flow.Waiting.front().Cost - flow.Deficit) /
                                  (Settings.Quantum * flow.Weight));
  // The loop runs the last round, as it serves the accounts in their order.
  rounds = std::ceil(rounds) - 1;
  if (rounds >= 1)
    for (auto &flow : level.Flows)
      flow.Deficit += rounds * Settings.Quantum * flow.Weight;
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
      costAhead += level.QueuedCost;
      continue;
    }
    const auto it = level.ByAccount.find(request.Account);
    const bool hasFlow = it != level.ByAccount.end();
    const double own = hasFlow ? it->second->QueuedCost : 0;
    const double totalWeight =
        level.TotalWeight + (hasFlow ? 0 : request.Weight);
    // The account's own requests are served at its share of the rate. The total
    // queued cost is the upper bound.
    costAhead += std::min(level.QueuedCost,
                          (own + request.Cost) * totalWeight / request.Weight);
  }
  return fromSeconds(std::min(MaxRetryAfterSeconds, costAhead / rate));
}

void FairQueue::removeEntry(std::unordered_map<RequestId, Entry>::iterator it) {
  const Entry entry = it->second;
  const auto level = Levels.find(entry.Priority);
  const QueuedRequest &request = *entry.Position;
  entry.OwningFlow->QueuedCost -= request.Cost;
  level->second.QueuedCost -= request.Cost;
  Bytes -= request.Bytes;
  ByExpiry.erase({entry.Expiry, request.Request});
  entry.OwningFlow->Waiting.erase(entry.Position);
  if (entry.OwningFlow->Waiting.empty()) {
    level->second.TotalWeight -= entry.OwningFlow->Weight;
    level->second.ByAccount.erase(entry.OwningFlow->Account);
    level->second.Flows.erase(entry.OwningFlow);
    if (level->second.Flows.empty())
      Levels.erase(level);
  }
  Entries.erase(it);
}

std::optional<RequestId>
FairQueue::evictToMakeRoomFor(const QueuedRequest &request) {
  // Evicts from the least urgent priority, there from the account with the
  // highest cost per weight, and of that account the newest request.
  const auto lowest = std::prev(Levels.end());
  if (Levels.empty() || lowest->first < request.Priority)
    return std::nullopt;
  const auto costPerWeight = [](const Flow &flow) {
    return flow.QueuedCost / flow.Weight;
  };
  const auto largest =
      std::max_element(lowest->second.Flows.begin(), lowest->second.Flows.end(),
                       [&](const Flow &a, const Flow &b) {
                         return costPerWeight(a) < costPerWeight(b);
                       });
  if (lowest->first == request.Priority) {
    const auto own = lowest->second.ByAccount.find(request.Account);
    const double cost = own == lowest->second.ByAccount.end()
                            ? request.Cost
                            : own->second->QueuedCost + request.Cost;
    if (largest->Account == request.Account ||
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

std::list<FairQueue::Flow>::iterator
FairQueue::findOrAddFlow(Level &level, const QueuedRequest &request) {
  const auto it = level.ByAccount.find(request.Account);
  if (it != level.ByAccount.end())
    return it->second;
  level.Flows.push_back({request.Account, request.Weight, 0, 0, false, {}});
  level.TotalWeight += request.Weight;
  const auto flow = std::prev(level.Flows.end());
  level.ByAccount.emplace(request.Account, flow);
  return flow;
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
