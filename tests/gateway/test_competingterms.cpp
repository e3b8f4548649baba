// Decisions on requests of different terms that compete for the same slots.
#include "libbergamotgateway/competingterms.h"
#include "libbergamotgateway/targetscheduler.h"
#include "libbergamotgateway/waitpolicy.h"
#include "libbergamotgateway/waitqueue.h"

#include <catch2/catch.hpp>

#include <deque>
#include <utility>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;

// Guards against urgent kinds of requests that are handled like others because
// all accounts have the same priority.
TEST_CASE("the routes' priorities order requests of accounts of one priority") {
  Route urgent;
  Route other;
  other.Priority = 2;
  const ClientAccount account{"a", {}, 1};
  const ClientAccount first{"b", {}, 0};
  const ClientAccount plain{"c", {}, {}};
  CHECK(requestPriority(urgent, &account) == requestPriority(other, &account));
  CHECK(competingPriority(urgent, &account) <
        competingPriority(other, &account));
  // The account's priority takes precedence.
  CHECK(competingPriority(other, &first) < competingPriority(urgent, &account));
  CHECK(competingPriority(other, &plain) == competingPriority(other, nullptr));
  other.Priority = 4000000000;
  CHECK(competingPriority(urgent, &account) <
        competingPriority(other, &account));
}

// Guards against less urgent requests that take the last free slots, so that
// urgent ones wait until they are late, and against starving the former.
TEST_CASE("slots are kept free for more urgent requests") {
  WaitQueue queue;
  queue.setSettings({true, false});
  const TimePoint now(1h);
  // Each priority has had its minimum share of the sends.
  for (std::uint32_t i = 0; i < 12; ++i) {
    queue.recordArrival(i % 3, now);
    WaitingRequest sent;
    sent.Priority = i % 3;
    sent.SequenceNumber = i;
    sent.OnTimeUntil = sent.ExpiresAt = now + 1s;
    queue.add(sent, now);
    queue.removeSent(i, now);
  }
  CHECK(queue.moreUrgentArrivals(0, false) == 0);
  CHECK(queue.moreUrgentArrivals(2, false) == 8);
  CHECK(queue.moreUrgentArrivals(2, true) == 0);
  // A priority that arrives but isn't sent is short of its minimum share.
  queue.recordArrival(3, now);
  CHECK(queue.moreUrgentArrivals(3, false) == 0);
}

// Guards against late requests that occupy all slots after a power loss, so
// that each request that follows waits and becomes late, too.
TEST_CASE("late requests leave the slots that on-time ones need") {
  constexpr auto StreamTime = 1100ms;
  constexpr std::size_t Slots = 27;
  const auto replay = [&](bool isLimited) {
    std::size_t late = 60; // They have waited for the end of a stall.
    std::size_t onTime = 0;
    std::size_t served = 0;
    std::deque<TimePoint> endTimes;
    std::deque<TimePoint> waiting;
    RateWindow lateSent;
    RateWindow arrived;
    TimePoint now(1h);
    for (int i = 0; i < 17; ++i)
      arrived.add(now - 50ms * (17 - i));
    for (; now < TimePoint(1h) + 3s; now += 10ms) {
      while (!endTimes.empty() && endTimes.front() <= now)
        endTimes.pop_front();
      if ((now - TimePoint(1h)) % 60ms == 0ms) {
        arrived.add(now);
        waiting.push_back(now);
      }
      while (!waiting.empty() && waiting.front() + 175ms < now)
        waiting.pop_front(); // Too late.
      QueueState state;
      state.SlotsOfThisEntry = Slots;
      state.OnTimeArrived = arrived.count(now);
      while (endTimes.size() < Slots && waiting.size() + late > 0) {
        if (!waiting.empty()) {
          waiting.pop_front();
          ++onTime;
        } else if (!isLimited || static_cast<double>(lateSent.count(now)) <
                                     lateRequestRate(state, StreamTime)) {
          --late;
          lateSent.add(now);
        } else {
          break;
        }
        ++served;
        endTimes.push_back(now + StreamTime);
      }
    }
    return std::pair(onTime, served);
  };
  const auto [onTimeBefore, servedBefore] = replay(false);
  const auto [onTime, served] = replay(true);
  CAPTURE(onTimeBefore, servedBefore, onTime, served);
  CHECK(onTime == 50); // All that arrive.
  CHECK(onTime > 1.3 * onTimeBefore);
  CHECK(served > 0.8 * servedBefore);
  // Some are always sent, and all if the time per request isn't known.
  CHECK(lateRequestRate({}, StreamTime) > 0);
  CHECK(lateRequestRate({}, 0ms) > 1000);
}

// Guards against requests that are rejected after all entries have restarted
// because none was sent in the second before.
TEST_CASE("the expected sends count until there are enough of them") {
  QueueState state;
  state.SlotsOfThisEntry = 22;
  state.Dispatched = 3;
  addExpectedDispatches(state, 1s, 1100ms);
  CHECK(state.Dispatched == 3);
  addExpectedDispatches(state, 400ms, 0ms);
  CHECK(state.Dispatched == 3);
  addExpectedDispatches(state, 400ms, 1100ms);
  CHECK(state.Dispatched == 20);
  state.Dispatched = 30;
  addExpectedDispatches(state, 400ms, 1100ms);
  CHECK(state.Dispatched == 30);
}

// Guards against less urgent requests that are sent although only the slots
// that urgent ones are about to need are free.
TEST_CASE("a less urgent request waits while few slots are free") {
  SchedulerSettings settings;
  settings.Name = "e";
  settings.ShareSlots = Activation::On;
  TargetScheduler scheduler(settings);
  scheduler.setRouteTable(std::make_shared<const RouteTable>(
      1, std::vector<Route>{}, std::vector<Service>{{"s", 0, 0, {}}},
      std::vector<ClientAccount>{}, CallerLimits{}));
  scheduler.setEntryNames({"e"});
  TargetRecord target;
  target.Id = "t";
  target.Service = "s";
  target.Slots = 10;
  scheduler.directory().setTarget(target, TimePoint(1h));
  for (int i = 0; i < 8; ++i)
    scheduler.loads().addLocalRequest("t");
  scheduler.takeReport({});
  DispatchTerms terms;
  terms.Service = "s";
  CHECK(scheduler.choose(terms, 0.5, TimePoint(1h)).Target);
  terms.MoreUrgentPerSecond = 30; // Three in the time until a report arrives.
  CHECK_FALSE(scheduler.choose(terms, 0.5, TimePoint(1h)).Target);
  terms.MoreUrgentPerSecond = 20;
  CHECK(scheduler.choose(terms, 0.5, TimePoint(1h)).Target);
}
