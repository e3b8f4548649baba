// The wait queue of a service for which requests of different priority compete.
#include "libbergamotgateway/waitpolicy.h"
#include "libbergamotgateway/waitqueue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <utility>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;

namespace {

TimePoint at(std::chrono::milliseconds time) { return TimePoint(1h) + time; }

WaitingRequest makeRequest(std::uint64_t number, std::uint32_t priority,
                           std::chrono::milliseconds arrived) {
  return {number, priority, at(arrived), at(arrived + 175ms),
          at(arrived + 1500ms)};
}

std::vector<std::uint64_t>
numbers(const std::vector<WaitingRequest> &requests) {
  std::vector<std::uint64_t> result;
  result.reserve(requests.size());
  for (const auto &it : requests)
    result.push_back(it.SequenceNumber);
  return result;
}

// Keeps requests in a vector and searches it for each decision. In each round,
// each account has one turn.
class NaiveQueue {
public:
  explicit NaiveQueue(const WaitSettings &settings) : Settings(settings) {}

  void add(const WaitingRequest &request, TimePoint now) {
    Waiting.push_back({request, request.OnTimeUntil <= now});
    Round &round = Rounds[request.Priority];
    if (takesTurn(Waiting.back()) &&
        !contains(round.Current, request.Account) &&
        !contains(round.Served, request.Account))
      round.Current.push_back(request.Account);
  }
  void demoteLate(TimePoint now) {
    for (auto &it : Waiting)
      it.IsLate = it.IsLate || it.Request.OnTimeUntil <= now;
    dropIdle();
  }
  void remove(const WaitingRequest &request) {
    std::erase_if(Waiting, [&](const Item &it) {
      return it.Request.SequenceNumber == request.SequenceNumber;
    });
    dropIdle();
  }
  void recordArrival(std::uint32_t priority, TimePoint now) {
    Arrived.emplace_back(priority, now);
    Now = now;
  }
  void removeSent(const WaitingRequest &request, TimePoint now) {
    Now = now;
    if (!request.WasSentBefore)
      Sent.emplace_back(request.Priority, now);
    if (std::any_of(Waiting.begin(), Waiting.end(), [&](const Item &it) {
          return it.Request.SequenceNumber == request.SequenceNumber &&
                 takesTurn(it);
        })) {
      std::erase(Rounds[request.Priority].Current, request.Account);
      Rounds[request.Priority].Served.push_back(request.Account);
    }
    remove(request);
  }
  std::optional<WaitingRequest> next() {
    const Item *best = first({});
    if (!best || best->IsLate || best->Request.WasSentBefore)
      return best ? std::optional(best->Request) : std::nullopt;
    std::uint32_t priority = best->Request.Priority;
    if (Settings.CountsByPriority)
      for (std::uint32_t p = 2; p > best->Request.Priority; --p)
        if (count(p) > 0 && isDue(p))
          priority = p;
    best = first(priority);
    if (!takesTurn(*best))
      return best->Request;
    Round &round = Rounds[priority];
    if (round.Current.empty()) {
      round.Current = std::exchange(round.Served, {});
      dropIdle();
    }
    for (const auto &it : Waiting)
      if (takesTurn(it) && it.Request.Priority == priority &&
          it.Request.Account == round.Current.front())
        return it.Request;
    return std::nullopt;
  }
  std::optional<WaitingRequest> any(std::uint64_t draw) const {
    if (Waiting.empty())
      return std::nullopt;
    return Waiting[draw % Waiting.size()].Request;
  }
  // Adds the request to a copy and takes requests from it until that one comes.
  std::size_t ahead(const WaitingRequest &request, TimePoint now) const {
    NaiveQueue copy = *this;
    copy.Settings.CountsByPriority = false;
    copy.add(request, now);
    std::size_t inLevel = 0;
    std::size_t others = 0;
    for (auto it = copy.next(); it->SequenceNumber != request.SequenceNumber;
         it = copy.next()) {
      ++(it->Priority == request.Priority ? inLevel : others);
      copy.removeSent(*it, now);
    }
    if (Settings.CountsByPriority)
      return isDue(request.Priority, inLevel) ? inLevel : inLevel + others;
    for (std::uint32_t p = request.Priority + 1; p <= 2; ++p)
      others += count(p);
    return inLevel + others;
  }

private:
  struct Item {
    WaitingRequest Request;
    bool IsLate;
  };
  struct Round {
    std::vector<std::string> Current;
    std::vector<std::string> Served;
  };
  using Event = std::pair<std::uint32_t, TimePoint>;

  static bool contains(const std::vector<std::string> &names,
                       const std::string &name) {
    return std::find(names.begin(), names.end(), name) != names.end();
  }
  bool takesTurn(const Item &it) const {
    return Settings.FairAccounts && !it.IsLate && !it.Request.WasSentBefore;
  }
  void dropIdle() {
    for (auto &round : Rounds)
      std::erase_if(round.second.Current, [&](const std::string &account) {
        return std::none_of(
            Waiting.begin(), Waiting.end(), [&](const Item &it) {
              return takesTurn(it) && it.Request.Priority == round.first &&
                     it.Request.Account == account;
            });
      });
  }
  const Item *first(std::optional<std::uint32_t> priority) const {
    const auto key = [&](const Item &it) {
      return std::tuple(it.IsLate, it.Request.Priority, takesTurn(it),
                        it.Request.ArrivedAt, it.Request.SequenceNumber);
    };
    const Item *best = nullptr;
    for (const auto &it : Waiting)
      if ((!priority || (!it.IsLate && it.Request.Priority == *priority)) &&
          (!best || key(it) < key(*best)))
        best = &it;
    return best;
  }
  std::size_t count(std::uint32_t priority) const {
    return static_cast<std::size_t>(
        std::count_if(Waiting.begin(), Waiting.end(), [&](const Item &it) {
          return !it.IsLate && it.Request.Priority == priority;
        }));
  }
  double inLastSecond(const std::vector<Event> &events,
                      std::optional<std::uint32_t> priority) const {
    return static_cast<double>(
        std::count_if(events.begin(), events.end(), [&](const Event &it) {
          return (!priority || it.first == *priority) && it.second + 1s > Now;
        }));
  }
  bool isDue(std::uint32_t priority, std::size_t more = 0) const {
    const double served =
        inLastSecond(Sent, priority) + static_cast<double>(more);
    return 4 * served * inLastSecond(Arrived, {}) <
           inLastSecond(Sent, {}) * inLastSecond(Arrived, priority);
  }

  WaitSettings Settings;
  std::vector<Item> Waiting;
  std::map<std::uint32_t, Round> Rounds;
  std::vector<Event> Arrived;
  std::vector<Event> Sent;
  TimePoint Now;
};

void compareWithNaive(const WaitSettings &settings, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto below = [&](std::uint64_t n) { return random() % n; };
  WaitQueue queue;
  queue.setSettings(settings);
  NaiveQueue naive(settings);
  auto t = 0ms;
  for (std::uint64_t step = 1; step <= 400; ++step) {
    t += std::chrono::milliseconds(below(20));
    queue.demoteLate(at(t));
    naive.demoteLate(at(t));
    if (below(5) < 3) {
      auto request = makeRequest(step, static_cast<std::uint32_t>(below(3)), t);
      request.OnTimeUntil = at(t + std::chrono::milliseconds(below(400)));
      request.WasSentBefore = below(10) == 0;
      request.Account = std::string(below(3), 'a');
      if (request.WasSentBefore) {
        request.ArrivedAt -= 50ms;
      } else {
        queue.recordArrival(request.Priority, at(t));
        naive.recordArrival(request.Priority, at(t));
      }
      const auto ahead = queue.onTimeAhead(request, at(t));
      REQUIRE(ahead.has_value() ==
              (settings != WaitSettings() && !request.WasSentBefore &&
               request.OnTimeUntil > at(t)));
      if (ahead)
        REQUIRE(*ahead == naive.ahead(request, at(t)));
      queue.add(request, at(t));
      naive.add(request, at(t));
    } else if (const auto expected = naive.next()) {
      REQUIRE(queue.next()->SequenceNumber == expected->SequenceNumber);
      queue.removeSent(expected->SequenceNumber, at(t));
      naive.removeSent(*expected, at(t));
    }
    if (below(10) == 0)
      if (const auto withdrawn = naive.any(below(100))) {
        queue.remove(withdrawn->SequenceNumber);
        naive.remove(*withdrawn);
      }
    const auto order = queue.expectedOrder();
    REQUIRE(order.size() == queue.onTimeCount());
    if (!settings.CountsByPriority) {
      NaiveQueue rest = naive;
      for (const WaitingRequest *it : order) {
        REQUIRE(rest.next()->SequenceNumber == it->SequenceNumber);
        rest.removeSent(*rest.next(), at(t));
      }
    }
  }
}

} // namespace

// Guards against a changed order where the new rules are switched off, and
// against an order or estimate that differs from the rules where they are on.
TEST_CASE("queue matches a naive search under all settings", "[differential]") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    compareWithNaive({}, seed);
    compareWithNaive({true, false}, seed);
    compareWithNaive({false, true}, seed);
    compareWithNaive({true, true}, seed);
  }
}

// Guards against rejecting an urgent request because of less urgent ones that
// are sent after it.
TEST_CASE("only requests that are sent before count as ahead") {
  WaitQueue queue;
  queue.setSettings({true});
  for (std::uint64_t i = 1; i <= 10; ++i)
    queue.add(makeRequest(i, 2, 0ms), at(0ms));
  QueueState state;
  state.Dispatched = 20;
  state.OnTimeWaiting = queue.onTimeCount();
  const auto admits = [&](std::uint32_t priority) {
    const WaitingRequest request = makeRequest(99, priority, 0ms);
    state.OnTimeAhead = queue.onTimeAhead(request, at(0ms));
    return shouldEnqueue({request.OnTimeUntil, request.ExpiresAt},
                         {request.ArrivedAt, at(8000ms)}, state, at(0ms));
  };
  CHECK(admits(0));
  CHECK_FALSE(admits(2));
  CHECK(retryAfterDelay(3000ms, state, 0) == 500ms);
  state.OnTimeAhead = 0;
  CHECK(retryAfterDelay(3000ms, state, 0) == 240ms);
  queue.setSettings({});
  CHECK_FALSE(admits(0));
}

// Guards against keeping requests that urgent ones have pushed back until they
// are late, and against rejecting urgent or resumed ones in their place.
TEST_CASE("requests that urgent ones have pushed back are rejected at once") {
  WaitQueue queue;
  queue.setSettings({true});
  QueueState state;
  state.Dispatched = 40; // 25 ms per request
  for (std::uint64_t i = 1; i <= 6; ++i)
    queue.add(makeRequest(i, 2, 10ms * i), at(60ms));
  auto resumed = makeRequest(7, 1, 60ms);
  resumed.WasSentBefore = true;
  queue.add(resumed, at(60ms));
  CHECK(takeUnservable(queue, state, at(60ms)).empty());
  for (std::uint64_t i = 11; i <= 14; ++i)
    queue.add(makeRequest(i, 0, 61ms), at(61ms));
  // Five are ahead of request 1, which would be sent at 186 ms, after its 185.
  // Request 2 takes its place, in time until 195 ms, and so on.
  CHECK(numbers(takeUnservable(queue, state, at(61ms))) ==
        std::vector<std::uint64_t>{6, 5, 3, 1});
  for (std::uint64_t i = 15; i <= 24; ++i)
    queue.add(makeRequest(i, 0, 62ms), at(62ms));
  CHECK(numbers(takeUnservable(queue, state, at(62ms))) ==
        std::vector<std::uint64_t>{4, 2});
  CHECK(queue.size() == 15);
  CHECK(takeUnservable(queue, state, at(200ms)).empty());
}

// Guards against rejecting requests of other accounts in place of those of an
// account that has several waiting.
TEST_CASE(
    "requests that other accounts have pushed back are rejected at once") {
  WaitQueue queue;
  queue.setSettings({false, true});
  QueueState state;
  state.Dispatched = 40; // 25 ms per request
  for (std::uint64_t i = 1; i <= 7; ++i) {
    auto request = makeRequest(i, 1, 1ms * i);
    request.Account = i <= 3 ? "large" : std::to_string(i);
    CHECK(queue.onTimeAhead(request, at(7ms)) == i - (i > 3 ? 3 : 1));
    queue.add(request, at(7ms));
  }
  CHECK(takeUnservable(queue, state, at(20ms)).empty());
  // Five are ahead of request 2; request 7 would be late, too, but has its turn
  // before.
  CHECK(numbers(takeUnservable(queue, state, at(90ms))) ==
        std::vector<std::uint64_t>{3, 2});
}

// Guards against starving a priority: the sends in any second in which it waits
// are compared with its arrivals.
TEST_CASE("less urgent requests get a quarter of an equal share of the sends") {
  WaitQueue queue;
  queue.setSettings({true});
  std::vector<std::pair<std::uint32_t, std::chrono::milliseconds>> sent;
  // Of 100 requests per second 80 are urgent and 20 aren't; 40 are sent.
  std::uint64_t number = 0;
  for (auto t = 0ms; t < 10000ms; t += 5ms) {
    if (t % 10ms == 0ms) {
      const std::uint32_t priority = t % 50ms == 0ms ? 1 : 0;
      queue.recordArrival(priority, at(t));
      auto request = makeRequest(++number, priority, t);
      request.OnTimeUntil = at(1h);
      queue.add(request, at(t));
    }
    if (t % 25ms == 0ms) {
      sent.emplace_back(queue.next()->Priority, t);
      queue.removeSent(queue.next()->SequenceNumber, at(t));
    }
  }
  for (auto from = 1000ms; from < 9000ms; from += 100ms) {
    const auto count = std::count_if(sent.begin(), sent.end(), [&](auto it) {
      return it.first == 1 && it.second >= from && it.second < from + 1000ms;
    });
    // A quarter of 40 * 20 / 100; urgent requests get the rest.
    CHECK(count == 2);
  }
}
