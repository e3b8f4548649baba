// Which requests wait for a target, the order in which they are sent, and the
// Retry-After delay of rejected callers.
#include "libbergamotgateway/ratewindow.h"
#include "libbergamotgateway/waitpolicy.h"
#include "libbergamotgateway/waitqueue.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;

namespace {

TimePoint at(std::chrono::milliseconds time) { return TimePoint() + time; }

Route streamRoute() {
  Route route;
  route.Streaming = true;
  route.Timeout = 8000ms;
  route.LatencyObjective = 500ms;
  route.EventGapObjective = 120ms;
  return route;
}

RequestTimes first(std::chrono::milliseconds arrived) {
  return {at(arrived), at(arrived + 8000ms), false};
}

RequestTimes continuing(std::chrono::milliseconds arrived) {
  return {at(arrived), at(arrived + 6000ms), true};
}

} // namespace

TEST_CASE("requests are ordered by priority, then by arrival") {
  WaitQueue queue;
  queue.add({1, 2, at(0ms), at(300ms), at(300ms)}, at(0ms));
  queue.add({2, 1, at(20ms), at(320ms), at(320ms)}, at(20ms));
  queue.add({3, 1, at(10ms), at(310ms), at(310ms)}, at(20ms));
  CHECK(queue.next()->SequenceNumber == 3);
  queue.remove(3);
  CHECK(queue.next()->SequenceNumber == 2);
  const auto expired = queue.takeExpired(at(305ms));
  REQUIRE(expired.size() == 1);
  CHECK(expired.front().SequenceNumber == 1);
  CHECK(queue.size() == 1);
}

TEST_CASE("late requests are moved behind on-time ones") {
  WaitQueue queue;
  queue.add({1, 1, at(0ms), at(175ms), at(1500ms)}, at(0ms));
  queue.add({2, 1, at(100ms), at(275ms), at(1600ms)}, at(100ms));
  CHECK(queue.next()->SequenceNumber == 1);
  CHECK(queue.demoteLate(at(174ms)).empty());
  const auto demoted = queue.demoteLate(at(175ms));
  REQUIRE(demoted.size() == 1);
  CHECK(demoted.front().SequenceNumber == 1);
  CHECK(queue.next()->SequenceNumber == 2);
  CHECK(queue.lateCount() == 1);
  CHECK(queue.onTimeCount() == 1);
  // A request that resumes a stream is late from the start.
  queue.add({3, 1, at(180ms), at(0ms), at(1680ms)}, at(180ms));
  CHECK(queue.lateCount() == 2);
  queue.remove(2);
  CHECK(queue.next()->SequenceNumber == 1);
  queue.remove(1);
  queue.remove(3);
  CHECK(queue.isEmpty());
  CHECK(queue.lateCount() == 0);
}

TEST_CASE("late request with high priority doesn't block on-time ones") {
  // Late requests may use only part of the slots, so the first of them may wait
  // for a long time.
  WaitQueue queue;
  queue.add({1, 0, at(0ms), at(175ms), at(1500ms)}, at(200ms));
  queue.add({2, 2, at(150ms), at(325ms), at(1650ms)}, at(200ms));
  CHECK(queue.next()->SequenceNumber == 2);
}

TEST_CASE("request waits no longer than its caller stays connected") {
  const WaitLimits limits = waitLimits(streamRoute(), first(1000ms));
  CHECK(limits.OnTimeUntil == at(1175ms));
  // The caller disconnects after two seconds without an event.
  CHECK(limits.ExpiresAt == at(2500ms));
  const WaitLimits late = waitLimits(streamRoute(), continuing(3000ms));
  CHECK(late.OnTimeUntil == at(3000ms));
  CHECK(late.ExpiresAt == at(4500ms));
  Route slow = streamRoute();
  slow.LatencyObjective = 1000ms;
  CHECK(waitLimits(slow, first(0ms)).ExpiresAt == at(3000ms));
  Route plain = streamRoute();
  plain.Streaming = false;
  CHECK(waitLimits(plain, first(0ms)).OnTimeUntil == at(300ms));
  CHECK(waitLimits(plain, first(0ms)).ExpiresAt == at(7500ms));
}

TEST_CASE("slots are reserved for interrupted streams while all targets are "
          "stalled") {
  // After a power loss, callers whose streams were interrupted retry once.
  QueueState state;
  state.Stalled = true;
  state.SlotsOfThisEntry = 28;
  state.LateWaiting = 20;
  const auto limits = [](const RequestTimes &times) {
    return waitLimits(streamRoute(), times);
  };
  CHECK_FALSE(
      shouldEnqueue(limits(first(5000ms)), first(5000ms), state, at(5000ms)));
  CHECK(shouldEnqueue(limits(continuing(5000ms)), continuing(5000ms), state,
                      at(5000ms)));
  state.LateWaiting = 29;
  CHECK_FALSE(shouldEnqueue(limits(continuing(5000ms)), continuing(5000ms),
                            state, at(5000ms)));
}

TEST_CASE("excess requests of a burst are rejected at once") {
  const RequestTimes times = first(5000ms);
  const WaitLimits limits = waitLimits(streamRoute(), times);
  QueueState state;
  state.Dispatched = 25;
  state.OnTimeArrived = 50;
  state.OnTimeWaiting = 2; // 80 ms
  CHECK(shouldEnqueue(limits, times, state, at(5000ms)));
  state.OnTimeWaiting = 5; // 200 ms
  CHECK_FALSE(shouldEnqueue(limits, times, state, at(5000ms)));
  state.Dispatched = 100; // 50 ms
  CHECK(shouldEnqueue(limits, times, state, at(5000ms)));
}

TEST_CASE("late requests wait only for capacity that on-time ones don't need") {
  const RequestTimes times = continuing(5000ms);
  const WaitLimits limits = waitLimits(streamRoute(), times);
  QueueState state;
  state.Dispatched = 30;
  state.OnTimeArrived = 20;
  state.LateWaiting = 14; // 1.4 s of 1.5 s
  CHECK(shouldStayQueued(limits, state, at(5000ms)));
  state.LateWaiting = 16;
  CHECK_FALSE(shouldStayQueued(limits, state, at(5000ms)));
  state.LateWaiting = 1;
  state.OnTimeArrived = 30;
  CHECK_FALSE(shouldStayQueued(limits, state, at(5000ms)));
}

TEST_CASE(
    "Retry-After covers the backlog, is spread, and ends before the deadline") {
  QueueState state;
  state.Dispatched = 20;
  const auto delay = [&](double draw, base::Duration backoffLeft = 0ms) {
    state.NextSendIn = backoffLeft;
    return retryAfterDelay(6000ms, state, draw);
  };
  CHECK(delay(0) == 480ms);
  CHECK(delay(0.999) < 2000ms);
  CHECK(delay(0.5) > delay(0.2));
  state.LateWaiting = 30; // 1.5 s
  CHECK(delay(0) == 1500ms);
  state.LateWaiting = 300;
  CHECK(delay(0) <= 2000ms);
  state.LateWaiting = 0;
  CHECK(delay(0, 900ms) == 900ms);
  state.Stalled = true;
  CHECK(delay(0) == 1200ms);
}

TEST_CASE("window that is never read doesn't grow") {
  // The count is never read for services without a rate limit on cold targets.
  RateWindow window;
  for (auto t = 0ms; t < 60000ms; t += 10ms)
    window.add(at(t));
  CHECK(window.storedCount() <= 101);
  CHECK(window.count(at(60500ms)) == 49);
}
