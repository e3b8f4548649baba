#include "libbergamotrouting/fairqueue.h"
#include "routinghelpers.h"

using namespace bergamot::routing;
using namespace bergamot::routing::testing;

namespace {

QueuedRequest makeRequest(const std::string &id, const std::string &account,
                          double cost = 1, std::uint32_t priority = 0) {
  QueuedRequest request;
  request.Request = RequestId{id};
  request.Account = AccountId{account};
  request.Cost = cost;
  request.Priority = priority;
  request.Bytes = 10;
  request.Deadline = atMs(1000000);
  return request;
}

// Naive deficit round robin over vectors, one round at a time.
class NaiveQueue {
public:
  void add(const QueuedRequest &request) {
    for (auto &flow : Flows[request.Priority])
      if (flow.Account == request.Account) {
        flow.Waiting.push_back(request);
        return;
      }
    Flows[request.Priority].push_back({request.Account, 0, false, {request}});
  }

  RequestId removeNext() {
    auto &flows = Flows.begin()->second;
    for (;;) {
      Flow flow = flows.front();
      flows.erase(flows.begin());
      if (!flow.QuantumGranted)
        flow.Deficit += flow.Waiting.front().Weight;
      flow.QuantumGranted = flow.Deficit >= flow.Waiting.front().Cost;
      if (!flow.QuantumGranted) {
        flows.push_back(flow);
        continue;
      }
      const QueuedRequest next = flow.Waiting.front();
      flow.Deficit -= next.Cost;
      flow.Waiting.erase(flow.Waiting.begin());
      if (!flow.Waiting.empty())
        flows.insert(flows.begin(), flow);
      else if (flows.empty())
        Flows.erase(Flows.begin());
      return next.Request;
    }
  }

private:
  struct Flow {
    AccountId Account;
    double Deficit = 0;
    bool QuantumGranted = false;
    std::vector<QueuedRequest> Waiting;
  };
  std::map<std::uint32_t, std::vector<Flow>> Flows;
};

} // namespace

// Guards against an order that differs from weighted deficit round robin, e.g.
// because the quanta of several rounds are credited at once.
TEST_CASE("the queue matches naive deficit round robin",
          "[queue][differential]") {
  forEachSeed([](std::mt19937_64 &random) {
    FairQueue queue({});
    NaiveQueue naive;
    std::size_t count = 0;
    for (int step = 0; step < 150; ++step) {
      if (randomBelow(random, 5) < 3) {
        const auto account = randomBelow(random, 5);
        auto request =
            makeRequest(std::to_string(step), std::to_string(account),
                        1.0 + static_cast<double>(randomBelow(random, 50)),
                        static_cast<std::uint32_t>(randomBelow(random, 2)));
        request.Weight = 1.0 + static_cast<double>(account);
        REQUIRE(queue.add(request, atMs(0)).Reason == Refusal::None);
        naive.add(request);
        ++count;
      } else if (count > 0) {
        --count;
        REQUIRE(queue.removeNext(atMs(0)) == naive.removeNext());
      }
      REQUIRE(queue.size() == count);
      REQUIRE(queue.bytes() == count * 10);
    }
  });
}

// Guards against refusing a request only shortly before its deadline.
TEST_CASE("a request that can't be sent in time is refused at once",
          "[queue]") {
  FairQueue queue({});
  for (int i = 0; i < 100; ++i)
    queue.add(makeRequest("r" + std::to_string(i), "a"), atMs(0));
  for (int i = 0; i < 40; ++i)
    queue.removeNext(atMs(10 * i));
  auto late = makeRequest("late", "a");
  late.Deadline = atMs(700);
  const auto verdict = queue.add(late, atMs(400));
  CHECK(verdict.Reason == Refusal::WaitTooLong);
  CHECK(verdict.RetryAfter > std::chrono::milliseconds(300));
  late.Request = RequestId{"late2"};
  late.Account = AccountId{"b"};
  CHECK(queue.add(late, atMs(400)).Reason == Refusal::None);
  late.Request = RequestId{"late3"};
  late.Deadline = atMs(1500);
  late.ExpectedServiceTime = std::chrono::milliseconds(1200);
  CHECK(queue.add(late, atMs(400)).Reason == Refusal::DeadlinePassed);
  // The targets have been stalled since then, which lengthens the wait of new
  // requests.
  auto stalled = makeRequest("stalled", "c");
  stalled.Deadline = atMs(5000);
  CHECK(queue.add(stalled, atMs(4000)).Reason == Refusal::WaitTooLong);
  CHECK(queue.removeExpired(atMs(4000)) ==
        std::vector<RequestId>{RequestId{"late2"}});
  CHECK(queue.removeExpired(atMs(10000)).size() == 60);
  CHECK(queue.size() == 0);
}

// Guards against memory that grows with the number of clients, and against one
// account filling the queue.
TEST_CASE(
    "a full queue evicts from the account with the highest cost per weight",
    "[queue]") {
  QueueSettings settings;
  settings.RequestCapacity = 10;
  settings.ByteCapacity = 95;
  FairQueue queue(settings);
  for (int i = 0; i < 9; ++i)
    queue.add(makeRequest("r" + std::to_string(i), "a"), atMs(0));
  CHECK(queue.add(makeRequest("more", "a"), atMs(0)).Reason ==
        Refusal::QueueFull);
  const auto verdict = queue.add(makeRequest("x", "b"), atMs(0));
  CHECK(verdict.Reason == Refusal::None);
  CHECK(verdict.Evicted == RequestId{"r8"});
  CHECK(queue.add(makeRequest("low", "c", 1, 1), atMs(0)).Reason ==
        Refusal::QueueFull);
  CHECK(queue.remove(RequestId{"r0"}));
  CHECK_FALSE(queue.remove(RequestId{"r0"}));
  CHECK(queue.add(makeRequest("x", "b"), atMs(0)).Reason == Refusal::Duplicate);
  CHECK(queue.bytes() == 80);
}
