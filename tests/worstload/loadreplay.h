#ifndef BERGAMOT_TESTS_WORSTLOAD_LOADREPLAY_H
#define BERGAMOT_TESTS_WORSTLOAD_LOADREPLAY_H

#include "libbergamotgateway/ratewindow.h"
#include "libbergamotgateway/waitpolicy.h"
#include "libbergamotgateway/waitqueue.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace bergamot::worstload {

using base::TimePoint;
using std::chrono::milliseconds;

/// What a caller does when a request is rejected.
enum class Retry {
  Never,
  /// Honors Retry-After up to a third of the remaining time and retries once.
  AfterDelay,
  /// Retries until the caller gives up.
  AtOnce,
};

/// The load on one entry from callers with the same terms, and the entry's
/// share of the targets' slots.
struct Load {
  std::uint32_t Priority = 1;
  milliseconds LatencyObjective{500};
  /// Requests per second in each phase, by the start of the phase.
  std::map<milliseconds, double> Rates;
  std::string Account{};
  Retry OnRejection = Retry::Never;
  milliseconds Length{10000};
  /// All targets are stalled before this time.
  milliseconds StalledUntil{0};
  std::uint32_t Slots = 28;
  /// How long a stream occupies its slot.
  milliseconds ServiceTime{1100};
  /// Time from the dispatch of a stream to its first event.
  milliseconds FirstEventDelay{330};
  std::uint64_t Seed = 1;
};

/// Number of requests by outcome.
struct Result {
  unsigned Arrived = 0;
  unsigned OnTime = 0;
  unsigned Late = 0;
  unsigned Rejected = 0;
  /// Sent to a target after their callers had disconnected.
  unsigned Wasted = 0;
  /// Longest time that a request waited before it was rejected.
  milliseconds LongestWait{0};

  /// A late response counts half as much as one on time, as on the deployments.
  double score() const { return OnTime + 0.5 * Late; }
  double onTimeShare() const { return static_cast<double>(OnTime) / Arrived; }
  double servedShare() const {
    return static_cast<double>(OnTime + Late + Wasted) / Arrived;
  }
  void add(const Result &it) {
    Arrived += it.Arrived;
    OnTime += it.OnTime;
    Late += it.Late;
    Rejected += it.Rejected;
    Wasted += it.Wasted;
    LongestWait = std::max(LongestWait, it.LongestWait);
  }
};

/// How an entry queues requests. `admit` returns whether a request is queued,
/// `next` the request to send now, if any, and `drop` the requests to reject.
template <typename T>
concept QueuePolicy = requires(T policy, const gateway::WaitingRequest &request,
                               TimePoint now, bool stalled,
                               std::uint32_t slotsInUse, std::uint32_t slots) {
  { policy.admit(request, now, stalled, slots) } -> std::same_as<bool>;
  {
    policy.next(now, slotsInUse, slots)
    } -> std::same_as<std::optional<gateway::WaitingRequest>>;
  {
    policy.drop(now, stalled, slots)
    } -> std::same_as<std::vector<gateway::WaitingRequest>>;
};

/// Uses WaitQueue and the functions of waitpolicy.h in the same way as Entry.
class CurrentPolicy {
public:
  explicit CurrentPolicy(const gateway::WaitSettings &settings = {}) {
    Queue.setSettings(settings);
  }
  bool admit(const gateway::WaitingRequest &request, TimePoint now,
             bool stalled, std::uint32_t slots) {
    OnTimeArrived.add(now);
    Queue.recordArrival(request.Priority, now);
    gateway::QueueState state = queueState(now, stalled, slots);
    state.OnTimeAhead = Queue.onTimeAhead(request, now);
    const gateway::RequestTimes times{
        request.ArrivedAt, request.ArrivedAt + milliseconds(8000), false};
    if (!Queue.isEmpty() &&
        !gateway::shouldEnqueue({request.OnTimeUntil, request.ExpiresAt}, times,
                                state, now))
      return false;
    Queue.add(request, now);
    return true;
  }
  std::optional<gateway::WaitingRequest>
  next(TimePoint now, std::uint32_t slotsInUse, std::uint32_t slots) {
    Queue.demoteLate(now);
    const gateway::WaitingRequest *first = Queue.next();
    if (!first)
      return std::nullopt;
    const bool isLate = first->OnTimeUntil <= now;
    if (slotsInUse >= (isLate ? gateway::lateRequestLimit(slots) : slots))
      return std::nullopt;
    const gateway::WaitingRequest it = *first;
    Queue.removeSent(it.SequenceNumber, now);
    Dispatched.add(now);
    return it;
  }
  std::vector<gateway::WaitingRequest> drop(TimePoint now, bool stalled,
                                            std::uint32_t slots) {
    auto dropped = Queue.takeExpired(now);
    for (const auto &it : Queue.demoteLate(now)) {
      if (gateway::shouldStayQueued({it.OnTimeUntil, it.ExpiresAt},
                                    queueState(now, stalled, slots), now))
        continue;
      Queue.remove(it.SequenceNumber);
      dropped.push_back(it);
    }
    for (const auto &it :
         gateway::takeUnservable(Queue, queueState(now, stalled, slots), now))
      dropped.push_back(it);
    return dropped;
  }
  /// Returns the Retry-After delay of a rejected request.
  base::Duration retryAfter(const gateway::WaitingRequest &request,
                            base::Duration timeLeft, double draw, TimePoint now,
                            std::uint32_t slots) {
    gateway::QueueState state = queueState(now, false, slots);
    state.OnTimeAhead = Queue.onTimeAhead(request, now);
    return gateway::retryAfterDelay(timeLeft, state, draw);
  }

private:
  gateway::QueueState queueState(TimePoint now, bool stalled,
                                 std::uint32_t slots) {
    return {Queue.onTimeCount(),      Queue.lateCount(), Dispatched.count(now),
            OnTimeArrived.count(now), stalled,           slots};
  }

  gateway::WaitQueue Queue;
  gateway::RateWindow Dispatched;
  gateway::RateWindow OnTimeArrived;
};

inline TimePoint at(milliseconds time) { return TimePoint() + time; }

/// Returns the arrival times of a load; the same seed gives the same times.
inline std::vector<milliseconds> arrivals(const Load &load) {
  std::mt19937_64 random(load.Seed);
  std::vector<milliseconds> times;
  double t = 0;
  while (t < static_cast<double>(load.Length.count())) {
    const auto rate = std::prev(
        load.Rates.upper_bound(milliseconds(static_cast<std::int64_t>(t))));
    t += std::exponential_distribution<double>(rate->second / 1000)(random);
    times.emplace_back(static_cast<std::int64_t>(t));
  }
  return times;
}

/// Replays loads that compete for the slots of the first one in virtual time.
/// The seed determines the draws for Retry-After.
template <QueuePolicy Policy>
std::vector<Result> replay(const std::vector<Load> &loads, Policy policy,
                           std::uint64_t seed) {
  constexpr milliseconds RequestTimeout{8000};
  constexpr milliseconds CallerTimeout{2000};
  constexpr milliseconds Tick{5};
  constexpr milliseconds RetryDelay{20};
  struct Attempt {
    std::size_t Load = 0;
    TimePoint FirstArrivedAt;
    bool IsRetry = false;
  };
  const Load &shared = loads[0];
  std::vector<Result> results(loads.size());
  std::multimap<TimePoint, Attempt> due;
  for (std::size_t i = 0; i < loads.size(); ++i)
    for (const milliseconds t : arrivals(loads[i])) {
      due.emplace(at(t), Attempt{i, at(t)});
      ++results[i].Arrived;
    }
  std::mt19937_64 random(seed);
  std::vector<Attempt> attempts;
  std::vector<TimePoint> busyUntil;
  for (milliseconds t{0}; t < shared.Length + CallerTimeout; t += Tick) {
    const TimePoint now = at(t);
    const bool stalled = t < shared.StalledUntil;
    const auto reject = [&](const gateway::WaitingRequest &request) {
      const Attempt &attempt = attempts[request.SequenceNumber];
      Result &result = results[attempt.Load];
      ++result.Rejected;
      result.LongestWait = std::max(
          result.LongestWait,
          std::chrono::duration_cast<milliseconds>(now - request.ArrivedAt));
      const Retry retry = loads[attempt.Load].OnRejection;
      if (retry == Retry::AtOnce &&
          now < attempt.FirstArrivedAt + CallerTimeout)
        due.emplace(now + RetryDelay, attempt);
      if constexpr (std::is_same_v<Policy, CurrentPolicy>) {
        if (retry != Retry::AfterDelay)
          return;
        const auto left = attempt.FirstArrivedAt + RequestTimeout - now;
        const auto delay = policy.retryAfter(
            request, left, std::uniform_real_distribution<double>(0, 1)(random),
            now, shared.Slots);
        if (!attempt.IsRetry && delay <= left / 3)
          due.emplace(std::max(now + delay, now + Tick),
                      Attempt{attempt.Load, attempt.FirstArrivedAt, true});
      }
    };
    const auto rejectDropped = [&] {
      for (const auto &it : policy.drop(now, stalled, shared.Slots))
        reject(it);
    };
    while (!due.empty() && due.begin()->first <= now) {
      const auto [arrivedAt, attempt] = *due.begin();
      due.erase(due.begin());
      const Load &load = loads[attempt.Load];
      gateway::Route route;
      route.Streaming = true;
      route.LatencyObjective = load.LatencyObjective;
      const auto limits = gateway::waitLimits(
          route, {arrivedAt, attempt.FirstArrivedAt + RequestTimeout, false});
      const gateway::WaitingRequest request{
          attempts.size(),  load.Priority, arrivedAt,   limits.OnTimeUntil,
          limits.ExpiresAt, false,         load.Account};
      attempts.push_back(attempt);
      if (!policy.admit(request, now, stalled, shared.Slots))
        reject(request);
      else if (loads.size() > 1) // Others may be pushed back.
        rejectDropped();
    }
    std::erase_if(busyUntil, [&](TimePoint it) { return it <= now; });
    const auto next = [&]() -> std::optional<gateway::WaitingRequest> {
      if (stalled)
        return std::nullopt;
      return policy.next(now, static_cast<std::uint32_t>(busyUntil.size()),
                         shared.Slots);
    };
    for (auto it = next(); it; it = next()) {
      busyUntil.push_back(now + shared.ServiceTime);
      const Attempt &attempt = attempts[it->SequenceNumber];
      Result &result = results[attempt.Load];
      const auto delay = now + shared.FirstEventDelay - attempt.FirstArrivedAt;
      ++(delay <= loads[attempt.Load].LatencyObjective ? result.OnTime
         : delay <= CallerTimeout                      ? result.Late
                                                       : result.Wasted);
    }
    rejectDropped();
  }
  return results;
}

/// Replays a single load in virtual time.
template <QueuePolicy Policy> Result replay(const Load &load, Policy policy) {
  return replay(std::vector<Load>{load}, std::move(policy), load.Seed)[0];
}

} // namespace bergamot::worstload

#endif
