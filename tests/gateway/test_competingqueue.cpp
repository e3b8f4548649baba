// The wait queue of a service for which requests of different priority compete.
#include "libbergamotgateway/waitpolicy.h"
#include "libbergamotgateway/waitqueue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <tuple>

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

// Keeps requests in a vector and searches it for each decision. In each round,
// each account has one turn.
struct NaiveQueue {
  struct Turn {
    std::uint32_t Priority;
    std::string Account;
    bool IsTaken;
  };
  struct Event {
    bool IsSend;
    std::uint32_t Priority;
    TimePoint At;
  };
  WaitSettings Settings;
  TimePoint Now{};
  std::vector<WaitingRequest> Waiting{};
  std::vector<Turn> Turns{};
  std::vector<Event> Events{};
  // When the counts of the last second were last updated.
  TimePoint CountedAt{};

  bool isOnTime(const WaitingRequest &it) const { return it.OnTimeUntil > Now; }
  bool takesTurn(const WaitingRequest &it) const {
    return Settings.FairAccounts && isOnTime(it) && !it.WasSentBefore;
  }
  static bool belongs(const WaitingRequest &it, const Turn &turn) {
    return it.Priority == turn.Priority && it.Account == turn.Account;
  }
  void recordArrival(std::uint32_t priority) {
    Events.push_back({false, priority, Now});
    CountedAt = Now;
  }
  void add(const WaitingRequest &request) {
    dropIdle();
    Waiting.push_back(request);
    if (takesTurn(request) &&
        std::none_of(Turns.begin(), Turns.end(),
                     [&](auto &it) { return belongs(request, it); }))
      Turns.push_back({request.Priority, request.Account, false});
  }
  void remove(const WaitingRequest &request) {
    std::erase_if(Waiting, [&](auto &it) {
      return it.SequenceNumber == request.SequenceNumber;
    });
  }
  void removeSent(const WaitingRequest &request) {
    CountedAt = Now;
    if (!request.WasSentBefore)
      Events.push_back({true, request.Priority, Now});
    if (takesTurn(request)) {
      std::erase_if(Turns, [&](auto &it) { return belongs(request, it); });
      Turns.push_back({request.Priority, request.Account, true});
    }
    remove(request);
  }
  std::optional<WaitingRequest> next() {
    dropIdle();
    const auto *best = first([](auto &) { return true; });
    if (!best || !isOnTime(*best) || best->WasSentBefore)
      return best ? std::optional(*best) : std::nullopt;
    std::uint32_t priority = best->Priority;
    for (std::uint32_t p = 2; Settings.CountsByPriority && p > best->Priority;
         --p)
      if (onTimeCount(p) > 0 && isDue(p))
        priority = p;
    best = first([&](auto &it) { return it.Priority == priority; });
    if (!takesTurn(*best))
      return *best;
    const auto isNext = [&](auto &it) {
      return it.Priority == priority && !it.IsTaken;
    };
    if (std::none_of(Turns.begin(), Turns.end(), isNext))
      for (auto &it : Turns)
        it.IsTaken = it.IsTaken && it.Priority != priority;
    dropIdle();
    const Turn &turn = *std::find_if(Turns.begin(), Turns.end(), isNext);
    return *first([&](auto &it) { return takesTurn(it) && belongs(it, turn); });
  }
  // Adds the request to a copy and takes requests from it until that one comes.
  std::size_t ahead(const WaitingRequest &request) const {
    std::size_t others = 0;
    for (std::uint32_t p = 0; p <= 2; ++p)
      if (p < request.Priority ||
          (p > request.Priority && !Settings.CountsByPriority))
        others += onTimeCount(p);
    NaiveQueue copy = *this;
    copy.Settings.CountsByPriority = false;
    copy.add(request);
    std::size_t inLevel = 0;
    while (copy.next()->SequenceNumber != request.SequenceNumber) {
      inLevel += copy.next()->Priority == request.Priority ? 1 : 0;
      copy.removeSent(*copy.next());
    }
    const bool isFirst =
        Settings.CountsByPriority && isDue(request.Priority, inLevel);
    return isFirst ? inLevel : inLevel + others;
  }
  void dropIdle() {
    std::erase_if(Turns, [&](auto &turn) {
      return !turn.IsTaken && !first([&](auto &it) {
        return takesTurn(it) && belongs(it, turn);
      });
    });
  }
  const WaitingRequest *first(const auto &condition) const {
    const auto key = [&](auto &it) {
      return std::tuple(!isOnTime(it), it.Priority, takesTurn(it), it.ArrivedAt,
                        it.SequenceNumber);
    };
    const WaitingRequest *best = nullptr;
    for (const auto &it : Waiting)
      if (condition(it) && (!best || key(it) < key(*best)))
        best = &it;
    return best;
  }
  std::size_t onTimeCount(std::uint32_t priority) const {
    std::size_t n = 0;
    for (const auto &it : Waiting)
      n += isOnTime(it) && it.Priority == priority ? 1 : 0;
    return n;
  }
  bool isDue(std::uint32_t priority, std::size_t more = 0) const {
    std::size_t all[2] = {};
    std::size_t ofPriority[2] = {0, more};
    for (const auto &it : Events)
      if (it.At + 1s > CountedAt) {
        ++all[it.IsSend];
        ofPriority[it.IsSend] += it.Priority == priority ? 1 : 0;
      }
    return 4 * ofPriority[1] * all[0] < all[1] * ofPriority[0];
  }
};

void compareWithNaive(const WaitSettings &settings, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto below = [&](std::uint64_t n) { return random() % n; };
  WaitQueue queue;
  queue.setSettings(settings);
  NaiveQueue naive{settings};
  auto t = 0ms;
  for (std::uint64_t step = 1; step <= 400; ++step) {
    t += std::chrono::milliseconds(below(20));
    queue.demoteLate(at(t));
    naive.Now = at(t);
    if (below(5) < 3) {
      auto request = makeRequest(step, static_cast<std::uint32_t>(below(3)), t);
      request.OnTimeUntil = at(t + std::chrono::milliseconds(below(400)));
      request.WasSentBefore = below(10) == 0;
      request.Account = std::string(below(3), 'a');
      if (request.WasSentBefore) {
        request.ArrivedAt -= 50ms;
      } else {
        queue.recordArrival(request.Priority, at(t));
        naive.recordArrival(request.Priority);
      }
      const auto ahead = queue.onTimeAhead(request, at(t));
      REQUIRE(ahead.has_value() ==
              (settings != WaitSettings() && !request.WasSentBefore &&
               request.OnTimeUntil > at(t)));
      if (ahead)
        REQUIRE(*ahead == naive.ahead(request));
      queue.add(request, at(t));
      naive.add(request);
    } else if (const auto expected = naive.next()) {
      REQUIRE(queue.next()->SequenceNumber == expected->SequenceNumber);
      queue.removeSent(expected->SequenceNumber, at(t));
      naive.removeSent(*expected);
    }
    if (const auto draw = below(10) == 0 ? below(100) : 100;
        draw < 100 && !naive.Waiting.empty()) {
      const auto withdrawn = naive.Waiting[draw % naive.Waiting.size()];
      queue.remove(withdrawn.SequenceNumber);
      naive.remove(withdrawn);
    }
    const auto order = queue.expectedOrder();
    REQUIRE(order.size() == queue.onTimeCount());
    NaiveQueue rest = naive;
    for (std::size_t i = 0; i < order.size() && !settings.CountsByPriority;
         ++i) {
      REQUIRE(rest.next()->SequenceNumber == order[i]->SequenceNumber);
      rest.removeSent(*rest.next());
    }
  }
}

// A queue that sends a request every 25 ms.
struct BusyQueue : WaitQueue {
  QueueState State;

  explicit BusyQueue(const WaitSettings &settings) {
    setSettings(settings);
    State.Dispatched = 40;
  }
  void addAll(std::uint64_t first, std::uint64_t last, std::uint32_t priority,
              std::chrono::milliseconds arrived,
              std::chrono::milliseconds interval = 0ms) {
    for (std::uint64_t i = first; i <= last; ++i, arrived += interval)
      add(makeRequest(i, priority, arrived), at(arrived));
  }
  std::vector<std::uint64_t> unservable(std::chrono::milliseconds now) {
    std::vector<std::uint64_t> numbers;
    for (const auto &it : takeUnservable(*this, State, at(now)))
      numbers.push_back(it.SequenceNumber);
    return numbers;
  }
};

using Numbers = std::vector<std::uint64_t>;

} // namespace

// Guards against a changed order where the new rules are switched off, and
// against an order or estimate that differs from the rules where they are on.
TEST_CASE("queue matches a naive search under all settings", "[differential]") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    for (const bool byPriority : {false, true})
      for (const bool fairAccounts : {false, true})
        compareWithNaive({byPriority, fairAccounts}, seed);
  }
}

// Guards against rejecting an urgent request because of less urgent ones that
// are sent after it.
TEST_CASE("only requests that are sent before count as ahead") {
  BusyQueue it({true});
  it.addAll(1, 10, 2, 0ms);
  it.State.Dispatched = 20;
  it.State.OnTimeWaiting = it.onTimeCount();
  const auto admits = [&](std::uint32_t priority) {
    const WaitingRequest request = makeRequest(99, priority, 0ms);
    it.State.OnTimeAhead = it.onTimeAhead(request, at(0ms));
    return shouldEnqueue({request.OnTimeUntil, request.ExpiresAt},
                         {request.ArrivedAt, at(8000ms)}, it.State, at(0ms));
  };
  CHECK(admits(0));
  CHECK_FALSE(admits(2));
  CHECK(retryAfterDelay(3000ms, it.State, 0) == 500ms);
  it.State.OnTimeAhead = 0;
  CHECK(retryAfterDelay(3000ms, it.State, 0) == 240ms);
  it.setSettings({});
  CHECK_FALSE(admits(0));
}

// Guards against keeping requests that urgent ones have pushed back until they
// are late, and against rejecting urgent or resumed ones in their place.
TEST_CASE("requests that urgent ones have pushed back are rejected at once") {
  BusyQueue it({true});
  it.addAll(1, 6, 2, 10ms, 10ms);
  auto resumed = makeRequest(7, 1, 60ms);
  resumed.WasSentBefore = true;
  it.add(resumed, at(60ms));
  CHECK(it.unservable(60ms).empty());
  it.addAll(11, 14, 0, 61ms);
  // Five are ahead of request 1, which would be sent at 186 ms, after its 185.
  // Request 2 takes its place, in time until 195 ms, and so on.
  CHECK(it.unservable(61ms) == Numbers{6, 5, 3, 1});
  it.addAll(15, 24, 0, 62ms);
  CHECK(it.unservable(62ms) == Numbers{4, 2});
  CHECK(it.size() == 15);
  CHECK(it.unservable(200ms).empty());
}

// Guards against rejecting requests of other accounts in place of those of an
// account that has several waiting.
TEST_CASE(
    "requests that other accounts have pushed back are rejected at once") {
  BusyQueue it({false, true});
  for (std::uint64_t i = 1; i <= 7; ++i) {
    auto request = makeRequest(i, 1, 1ms * i);
    request.Account = i <= 3 ? "large" : std::to_string(i);
    CHECK(it.onTimeAhead(request, at(7ms)) == i - (i > 3 ? 3 : 1));
    it.add(request, at(7ms));
  }
  CHECK(it.unservable(20ms).empty());
  // Five are ahead of request 2; request 7 would be late, too, but has its turn
  // before.
  CHECK(it.unservable(90ms) == Numbers{3, 2});
}

// Guards against starving a priority: the sends in any second in which it waits
// are compared with its arrivals.
TEST_CASE("less urgent requests get a quarter of an equal share of the sends") {
  WaitQueue queue;
  queue.setSettings({true});
  std::vector<std::chrono::milliseconds> sent;
  // Of 100 requests per second 80 are urgent and 20 aren't; 40 are sent.
  for (auto t = 0ms; t < 10000ms; t += 5ms) {
    if (t % 10ms == 0ms) {
      auto request = makeRequest(static_cast<std::uint64_t>(t / 10ms),
                                 t % 50ms == 0ms ? 1 : 0, t);
      request.OnTimeUntil = at(1h);
      queue.recordArrival(request.Priority, at(t));
      queue.add(request, at(t));
    }
    if (t % 25ms == 0ms) {
      if (queue.next()->Priority == 1)
        sent.push_back(t);
      queue.removeSent(queue.next()->SequenceNumber, at(t));
    }
  }
  for (auto from = 1000ms; from < 9000ms; from += 100ms) {
    // A quarter of 40 * 20 / 100; urgent requests get the rest.
    CHECK(std::count_if(sent.begin(), sent.end(), [&](auto it) {
            return it >= from && it < from + 1000ms;
          }) == 2);
  }
}
