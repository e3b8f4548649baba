#include "libbergamotrouting/fairqueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamot::routing {

namespace {

constexpr auto ServiceWindow = std::chrono::milliseconds(200);
constexpr double ServiceSmoothing = 0.3;
constexpr double ShortestRetrySeconds = 0.05;
constexpr double LongestRetrySeconds = 30;

} // namespace

FairQueue::FairQueue(const QueueSettings &settings) : Settings(settings) {}

QueueVerdict FairQueue::add(const QueuedRequest &request, TimePoint now) {
  if (Entries.contains(request.Request))
    return {Refusal::Duplicate, {}, {}};
  const Duration wait = expectedWait(request, now);
  const Duration retry = fromSeconds(
      std::clamp(toSeconds(wait), ShortestRetrySeconds, LongestRetrySeconds));
  const TimePoint expiry =
      std::min(request.Deadline - request.Needed, now + Settings.LongestWait);
  if (expiry <= now)
    return {Refusal::DeadlinePassed, retry, {}};
  if (now + wait > expiry)
    return {Refusal::WaitTooLong, retry, {}};
  std::optional<RequestId> evicted;
  if (Entries.size() >= Settings.RequestCapacity ||
      Bytes + request.Bytes > Settings.ByteCapacity) {
    evicted = makeRoom(request);
    if (!evicted)
      return {Refusal::QueueFull, retry, {}};
  }
  if (Entries.empty()) {
    WindowStart = now;
    ServedInWindow = 0;
  }
  Level &level = Levels[request.Priority];
  const auto flow = flowOf(level, request);
  flow->Waiting.push_back(request);
  flow->Cost += request.Cost;
  level.Cost += request.Cost;
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
    if (!flow.HasTurn) {
      flow.HasTurn = true;
      flow.Deficit += Settings.Quantum * flow.Weight;
    }
    if (flow.Deficit >= next.Cost) {
      flow.Deficit -= next.Cost;
      const RequestId id = next.Request;
      addServed(next.Cost, now);
      removeEntry(Entries.find(id));
      return id;
    }
    flow.HasTurn = false;
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
  // The last round is left to the loop, which serves in the order of turns.
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
  const double rate = servedPerSecond(now);
  if (rate <= 0)
    return {};
  double ahead = 0;
  for (const auto &[priority, level] : Levels) {
    if (priority > request.Priority)
      break;
    if (priority < request.Priority) {
      ahead += level.Cost;
      continue;
    }
    const auto it = level.ByAccount.find(request.Account);
    const bool waits = it != level.ByAccount.end();
    const double own = waits ? it->second->Cost : 0;
    const double weights = level.Weight + (waits ? 0 : request.Weight);
    // The account's own requests go at its share of the rate; all that wait
    // is the upper bound.
    ahead +=
        std::min(level.Cost, (own + request.Cost) * weights / request.Weight);
  }
  return fromSeconds(std::min(LongestRetrySeconds, ahead / rate));
}

void FairQueue::removeEntry(std::unordered_map<RequestId, Entry>::iterator it) {
  const Entry entry = it->second;
  const auto level = Levels.find(entry.Priority);
  const QueuedRequest &request = *entry.Position;
  entry.Sender->Cost -= request.Cost;
  level->second.Cost -= request.Cost;
  Bytes -= request.Bytes;
  ByExpiry.erase({entry.Expiry, request.Request});
  entry.Sender->Waiting.erase(entry.Position);
  if (entry.Sender->Waiting.empty()) {
    level->second.Weight -= entry.Sender->Weight;
    level->second.ByAccount.erase(entry.Sender->Account);
    level->second.Flows.erase(entry.Sender);
    if (level->second.Flows.empty())
      Levels.erase(level);
  }
  Entries.erase(it);
}

std::optional<RequestId> FairQueue::makeRoom(const QueuedRequest &request) {
  // The least urgent priority gives way first, there the account that is
  // furthest above its share, and of that account the newest request.
  const auto last = std::prev(Levels.end());
  if (Levels.empty() || last->first < request.Priority)
    return std::nullopt;
  const auto above = [](const Flow &flow) { return flow.Cost / flow.Weight; };
  const auto most = std::max_element(
      last->second.Flows.begin(), last->second.Flows.end(),
      [&](const Flow &a, const Flow &b) { return above(a) < above(b); });
  if (last->first == request.Priority) {
    const auto own = last->second.ByAccount.find(request.Account);
    const double cost = own == last->second.ByAccount.end()
                            ? request.Cost
                            : own->second->Cost + request.Cost;
    if (most->Account == request.Account ||
        cost / request.Weight >= above(*most))
      return std::nullopt;
  }
  const QueuedRequest &victim = most->Waiting.back();
  if (Bytes - victim.Bytes + request.Bytes > Settings.ByteCapacity)
    return std::nullopt;
  const RequestId id = victim.Request;
  removeEntry(Entries.find(id));
  return id;
}

std::list<FairQueue::Flow>::iterator
FairQueue::flowOf(Level &level, const QueuedRequest &request) {
  const auto it = level.ByAccount.find(request.Account);
  if (it != level.ByAccount.end())
    return it->second;
  level.Flows.push_back({request.Account, request.Weight, 0, 0, false, {}});
  level.Weight += request.Weight;
  const auto flow = std::prev(level.Flows.end());
  level.ByAccount.emplace(request.Account, flow);
  return flow;
}

double FairQueue::servedPerSecond(TimePoint now) const {
  const Duration gap = now - std::max(LastServedAt, WindowStart);
  if (Entries.empty() || gap <= ServiceWindow)
    return ServedPerSecond;
  // Each window without service counts as one of rate 0.
  return ServedPerSecond * std::pow(1 - ServiceSmoothing,
                                    toSeconds(gap) / toSeconds(ServiceWindow));
}

void FairQueue::addServed(double cost, TimePoint now) {
  ServedInWindow += cost;
  LastServedAt = now;
  const Duration passed = now - WindowStart;
  if (passed < ServiceWindow)
    return;
  const double rate = ServedInWindow / toSeconds(passed);
  ServedPerSecond =
      ServedPerSecond <= 0
          ? rate
          : ServedPerSecond + ServiceSmoothing * (rate - ServedPerSecond);
  ServedInWindow = 0;
  WindowStart = now;
}

} // namespace bergamot::routing
