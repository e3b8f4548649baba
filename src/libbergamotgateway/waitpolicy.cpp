#include "libbergamotgateway/waitpolicy.h"

#include <algorithm>
#include <cmath>

namespace bergamot::gateway {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Parts of the latency objective that a request may wait for a target. The
/// rest is needed for its work: a stream's prompt and first pass take 200 to
/// 300 ms of 500 while a group is full, a plain response takes some 100 of 300.
constexpr double StreamWaitPart = 0.35;
constexpr double PlainWaitPart = 0.6;
/// Callers leave a stream without an event after the longest of these.
constexpr milliseconds CallerPatience{2000};
constexpr int PatienceInObjectives = 4;
constexpr int PatienceInGaps = 8;
/// Part of the time that a request may wait which those ahead of it may take,
/// and how many of them are too few to foretell it.
constexpr double QueuePart = 0.5;
constexpr std::size_t FewAhead = 4;
/// Part of a target's places that late requests may fill.
constexpr double LatePlacesPart = 0.7;
/// Parts of the time left after which a rejected caller is told to come back.
/// Callers follow it up to a third of that time; the range spreads them.
constexpr double ReturnLowest = 0.08;
constexpr double ReturnHighest = 0.32;
/// The lowest part while all targets stand still: they are back and have served
/// what waits only then.
constexpr double ReturnAfterStandstill = 0.2;

Duration scaled(Duration span, double part) {
  return duration_cast<Duration>(span * part);
}

/// Returns how long it takes to send so many requests at a rate per second.
Duration timeFor(std::size_t requests, double perSecond) {
  constexpr std::chrono::hours Never{1};
  if (perSecond <= 0)
    return Never;
  return duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(requests) / perSecond));
}

} // namespace

WaitLimits waitLimits(const Route &route, const RequestTimes &times) {
  const double part = route.Streams ? StreamWaitPart : PlainWaitPart;
  const TimePoint inTime =
      times.ContinuesStream
          ? times.ArrivedAt
          : times.ArrivedAt + scaled(route.LatencyObjective, part);
  TimePoint leaves = times.Deadline;
  if (route.Streams) {
    const milliseconds patience =
        std::max({CallerPatience, PatienceInObjectives * route.LatencyObjective,
                  PatienceInGaps * route.GapObjective});
    leaves = std::min(leaves, times.ArrivedAt + patience);
  }
  // The response takes as long to begin as the objective allows.
  const TimePoint useful =
      std::max(leaves - route.LatencyObjective, times.ArrivedAt);
  return {std::min(inTime, times.Deadline), std::max(useful, inTime)};
}

bool mayWait(const WaitLimits &limits, const RequestTimes &times,
             const WaitLoad &load, TimePoint now) {
  if (load.StandsStill) {
    const std::size_t room = times.ContinuesStream ? load.Room : load.Room / 2;
    return load.InTimeWaiting + load.LateWaiting <= room;
  }
  if (limits.InTimeUntil <= now) {
    WaitLoad with = load;
    ++with.LateWaiting;
    return mayWaitLate(limits, with, now);
  }
  if (load.InTimeWaiting < FewAhead)
    return true;
  const Duration ahead =
      timeFor(load.InTimeWaiting, static_cast<double>(load.Dispatched));
  return ahead <= scaled(limits.InTimeUntil - now, QueuePart);
}

bool mayWaitLate(const WaitLimits &limits, const WaitLoad &load,
                 TimePoint now) {
  if (load.StandsStill)
    return true;
  const double spare =
      static_cast<double>(load.Dispatched) - static_cast<double>(load.Arrived);
  return now + timeFor(load.LateWaiting, spare) <= limits.UsefulUntil;
}

std::uint32_t lateLimit(std::uint32_t limit) {
  return static_cast<std::uint32_t>(std::ceil(LatePlacesPart * limit));
}

Duration returnDelay(Duration left, const WaitLoad &load, Duration restLeft,
                     double draw) {
  const Duration highest = scaled(left, ReturnHighest);
  const double least = load.StandsStill ? ReturnAfterStandstill : ReturnLowest;
  const Duration backlog = load.StandsStill
                               ? Duration::zero()
                               : timeFor(load.InTimeWaiting + load.LateWaiting,
                                         static_cast<double>(load.Dispatched));
  const Duration lowest =
      std::min(highest, std::max({scaled(left, least), backlog, restLeft}));
  return lowest + scaled(highest - lowest, draw);
}

} // namespace bergamot::gateway
