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
#include <vector>

namespace bergamot::worstload {

using base::TimePoint;
using std::chrono::milliseconds;

/// The load on one entry and its share of the targets' slots.
struct Load {
  /// Requests per second in each phase, by the start of the phase.
  std::map<milliseconds, double> Rates;
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
  unsigned OnTime = 0;
  unsigned Late = 0;
  unsigned Rejected = 0;
  /// Sent to a target after their callers had disconnected.
  unsigned Wasted = 0;
  /// Longest time that a request waited before it was rejected.
  milliseconds LongestWait{0};

  /// A late response counts half as much as one on time, as on the deployments.
  double score() const { return OnTime + 0.5 * Late; }
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

/// Replays a load in virtual time.
template <QueuePolicy Policy> Result replay(const Load &load, Policy policy) {
  gateway::Route route;
  route.Streaming = true;
  route.LatencyObjective = milliseconds(500);
  route.EventGapObjective = milliseconds(120);
  constexpr milliseconds RequestTimeout{8000};
  constexpr milliseconds CallerTimeout{2000};
  constexpr milliseconds Tick{5};
  Result result;
  std::vector<TimePoint> busyUntil;
  const auto times = arrivals(load);
  std::size_t arrived = 0;
  const auto reject = [&](TimePoint arrivedAt, TimePoint now) {
    ++result.Rejected;
    result.LongestWait =
        std::max(result.LongestWait,
                 std::chrono::duration_cast<milliseconds>(now - arrivedAt));
  };
  for (milliseconds t{0}; t < load.Length + CallerTimeout; t += Tick) {
    const TimePoint now = at(t);
    const bool stalled = t < load.StalledUntil;
    for (; arrived < times.size() && times[arrived] <= t; ++arrived) {
      const TimePoint arrival = at(times[arrived]);
      const auto limits = gateway::waitLimits(
          route, {arrival, arrival + RequestTimeout, false});
      const gateway::WaitingRequest request{
          arrived, 1, arrival, limits.OnTimeUntil, limits.ExpiresAt};
      if (!policy.admit(request, now, stalled, load.Slots))
        reject(arrival, now);
    }
    std::erase_if(busyUntil, [&](TimePoint it) { return it <= now; });
    const auto next = [&]() -> std::optional<gateway::WaitingRequest> {
      if (stalled)
        return std::nullopt;
      return policy.next(now, static_cast<std::uint32_t>(busyUntil.size()),
                         load.Slots);
    };
    for (auto it = next(); it; it = next()) {
      busyUntil.push_back(now + load.ServiceTime);
      const auto firstEventDelay = now + load.FirstEventDelay - it->ArrivedAt;
      if (firstEventDelay <= route.LatencyObjective)
        ++result.OnTime;
      else if (firstEventDelay <= CallerTimeout)
        ++result.Late;
      else
        ++result.Wasted;
    }
    for (const auto &it : policy.drop(now, stalled, load.Slots))
      reject(it.ArrivedAt, now);
  }
  return result;
}

} // namespace bergamot::worstload

#endif
