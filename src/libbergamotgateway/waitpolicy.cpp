#include "libbergamotgateway/waitpolicy.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace bergamot::gateway {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Fraction of the latency objective that a request may wait for a target. The
/// rest is needed to serve it: in a full group the prompt and first pass of a
/// stream take 200 to 300 ms of 500, and a plain response takes about 100 of
/// 300.
constexpr double StreamWaitFraction = 0.35;
constexpr double PlainWaitFraction = 0.6;
/// Callers disconnect from a stream without events after the longest of these.
constexpr milliseconds MinCallerTimeout{2000};
constexpr int CallerTimeoutInObjectives = 4;
constexpr int CallerTimeoutInEventGaps = 8;
/// Maximum fraction of a request's permitted waiting time that dispatching the
/// requests ahead of it may take.
constexpr double MaxQueueFraction = 0.5;
/// Queue length below which the dispatch rate gives no usable estimate of the
/// time that the requests ahead take.
constexpr std::size_t MinQueueForEstimate = 4;
/// Fraction of a target's slots that late requests may fill.
constexpr double LateSlotFraction = 0.7;
/// Late requests per second that an entry sends at any load, so that they
/// aren't starved.
constexpr double MinLateRequestRate = 1;
/// Bounds of the Retry-After delay as fractions of the time left until the
/// deadline. Callers ignore a delay of more than a third of that time; the
/// range spreads their retries.
constexpr double MinRetryAfterFraction = 0.08;
constexpr double MaxRetryAfterFraction = 0.32;
/// Lower bound while all targets are stalled, as it takes that long until they
/// have recovered and served the queue.
constexpr double StalledMinRetryAfterFraction = 0.2;

Duration scaled(Duration span, double fraction) {
  return duration_cast<Duration>(span * fraction);
}

/// Returns how long it takes to send a number of requests at a rate per second.
Duration drainTime(std::size_t requests, double perSecond) {
  constexpr std::chrono::hours Never{1};
  if (perSecond <= 0)
    return Never;
  return duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(requests) / perSecond));
}

/// Returns the time until a request can be sent that has `ahead` others before
/// it, as far as the targets' limits and back-offs determine it.
Duration limitedWait(const QueueState &state, std::size_t ahead) {
  if (!state.MaxRate)
    return state.NextSendIn;
  return state.NextSendIn + drainTime(ahead, *state.MaxRate);
}

/// Returns the number of waiting requests that count as ahead of a new one.
std::size_t waitingAhead(const QueueState &state) {
  return state.OnTimeAhead.value_or(state.OnTimeWaiting + state.LateWaiting);
}

/// Returns how many requests per second a number of slots serves, or
/// std::nullopt if the time per request isn't known.
std::optional<double> servedPerSecond(std::size_t slots, Duration streamTime) {
  const std::chrono::duration<double> seconds = streamTime;
  if (seconds.count() <= 0)
    return std::nullopt;
  return static_cast<double>(slots) / seconds.count();
}

} // namespace

WaitLimits waitLimits(const Route &route, const RequestTimes &times) {
  const double fraction =
      route.Streaming ? StreamWaitFraction : PlainWaitFraction;
  const TimePoint onTimeUntil =
      times.ContinuesStream
          ? times.ArrivedAt
          : times.ArrivedAt + scaled(route.LatencyObjective, fraction);
  TimePoint callerDisconnectsAt = times.Deadline;
  if (route.Streaming) {
    const milliseconds callerTimeout = std::max(
        {MinCallerTimeout, CallerTimeoutInObjectives * route.LatencyObjective,
         CallerTimeoutInEventGaps * route.EventGapObjective});
    callerDisconnectsAt =
        std::min(callerDisconnectsAt, times.ArrivedAt + callerTimeout);
  }
  // Leaves enough time for a response that begins as late as the objective
  // allows.
  const TimePoint expiresAt =
      std::max(callerDisconnectsAt - route.LatencyObjective, times.ArrivedAt);
  return {std::min(onTimeUntil, times.Deadline),
          std::max(expiresAt, onTimeUntil)};
}

bool shouldEnqueue(const WaitLimits &limits, const RequestTimes &times,
                   const QueueState &state, TimePoint now) {
  if (state.Stalled) {
    const std::size_t slots = times.ContinuesStream
                                  ? state.SlotsOfThisEntry
                                  : state.SlotsOfThisEntry / 2;
    return state.OnTimeWaiting + state.LateWaiting <= slots;
  }
  if (state.MaxRate)
    return now + limitedWait(state, waitingAhead(state)) <= limits.ExpiresAt;
  if (limits.OnTimeUntil <= now) {
    QueueState withRequest = state;
    ++withRequest.LateWaiting;
    return shouldStayQueued(limits, withRequest, now);
  }
  const std::size_t ahead = state.OnTimeAhead.value_or(state.OnTimeWaiting);
  if (ahead < MinQueueForEstimate)
    return true;
  return drainTime(ahead, static_cast<double>(state.Dispatched)) <=
         scaled(limits.OnTimeUntil - now, MaxQueueFraction);
}

std::vector<WaitingRequest>
takeUnservable(WaitQueue &queue, const QueueState &state, TimePoint now) {
  std::vector<WaitingRequest> unservable;
  // Requests that a rate limit or a stall delays may be served late.
  const WaitSettings &settings = queue.settings();
  if (settings == WaitSettings() || state.Stalled || state.MaxRate)
    return unservable;
  const auto order = queue.expectedOrder();
  const auto mostUrgent =
      std::min_element(order.begin(), order.end(),
                       [](const WaitingRequest *a, const WaitingRequest *b) {
                         return a->Priority < b->Priority;
                       });
  std::set<std::pair<std::uint32_t, std::string_view>> accounts;
  std::size_t ahead = 0;
  // The removal of a request shortens the wait of those behind it, not of those
  // ahead, so removing the ones behind in its place would serve none on time.
  for (const WaitingRequest *it : order) {
    const Duration wait =
        drainTime(ahead, static_cast<double>(state.Dispatched));
    const bool isPushedBack =
        (settings.CountsByPriority && it->Priority > (*mostUrgent)->Priority) ||
        (settings.FairAccounts &&
         accounts.contains({it->Priority, it->Account}));
    if (isPushedBack && !it->WasSentBefore && ahead >= MinQueueForEstimate &&
        now + wait > it->OnTimeUntil) {
      unservable.push_back(*it);
      continue;
    }
    ++ahead;
    if (!it->WasSentBefore)
      accounts.emplace(it->Priority, it->Account);
  }
  std::sort(unservable.begin(), unservable.end(),
            [](const WaitingRequest &a, const WaitingRequest &b) {
              return std::tie(a.Priority, a.ArrivedAt, a.SequenceNumber) >
                     std::tie(b.Priority, b.ArrivedAt, b.SequenceNumber);
            });
  for (const auto &it : unservable)
    queue.remove(it.SequenceNumber);
  return unservable;
}

bool shouldStayQueued(const WaitLimits &limits, const QueueState &state,
                      TimePoint now) {
  if (state.Stalled)
    return true;
  if (state.MaxRate)
    return now + limitedWait(state,
                             state.OnTimeWaiting + state.LateWaiting - 1) <=
           limits.ExpiresAt;
  const double spareRate = static_cast<double>(state.Dispatched) -
                           static_cast<double>(state.OnTimeArrived);
  return now + drainTime(state.LateWaiting, spareRate) <= limits.ExpiresAt;
}

void addExpectedDispatches(QueueState &state, Duration servedFor,
                           Duration streamTime) {
  const auto served = servedPerSecond(state.SlotsOfThisEntry, streamTime);
  if (served && servedFor < std::chrono::seconds(1))
    state.Dispatched =
        std::max(state.Dispatched, static_cast<std::size_t>(*served));
}

double lateRequestRate(const QueueState &state, Duration streamTime) {
  const auto served = servedPerSecond(state.SlotsOfThisEntry, streamTime);
  if (!served)
    return std::numeric_limits<double>::infinity();
  return std::max(MinLateRequestRate,
                  *served - static_cast<double>(state.OnTimeArrived));
}

std::uint32_t lateRequestLimit(std::uint32_t limit) {
  return static_cast<std::uint32_t>(std::ceil(LateSlotFraction * limit));
}

Duration retryAfterDelay(Duration timeLeft, const QueueState &state,
                         double draw) {
  const Duration highest = scaled(timeLeft, MaxRetryAfterFraction);
  const double minFraction =
      state.Stalled ? StalledMinRetryAfterFraction : MinRetryAfterFraction;
  const Duration backlog =
      state.Stalled ? Duration::zero()
                    : drainTime(waitingAhead(state),
                                static_cast<double>(state.Dispatched));
  const Duration lowest =
      std::min(highest, std::max({scaled(timeLeft, minFraction), backlog,
                                  limitedWait(state, waitingAhead(state))}));
  return lowest + scaled(highest - lowest, draw);
}

} // namespace bergamot::gateway
