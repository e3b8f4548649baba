#include "libbergamotrouting/accountlimiter.h"
#include "libbergamotrouting/quotaowner.h"
#include "libbergamotrouting/rendezvous.h"
#include "routinghelpers.h"

#include <deque>
#include <memory>

using namespace bergamot::routing;
using namespace bergamot::routing::testing;

namespace {

const AccountId Account{"a"};

// Entries with their limiters and owners on a network that loses, duplicates
// and delays messages, in steps of 5 ms.
class QuotaModel {
public:
  QuotaModel(std::uint64_t seed, std::size_t count, AccountLimits limits)
      : Random(seed) {
    for (std::size_t i = 0; i < count; ++i)
      Ids.push_back(VmId{"e" + std::to_string(i)});
    for (const auto &id : Ids) {
      Nodes.push_back({std::make_unique<AccountLimiter>(id, Incarnation{1},
                                                        QuotaSettings{}),
                       std::make_unique<QuotaOwner>(id, QuotaSettings{})});
      Nodes.back().Limiter->setLimits({{Account, limits}});
      Nodes.back().Limiter->setEntries(Ids);
      Nodes.back().Owner->setLimits({{Account, limits}});
      Nodes.back().Owner->setEntries(Ids, atMs(-10000));
    }
  }

  void run(std::int64_t fromMs, std::int64_t untilMs, double requestsPerSecond,
           std::int64_t holdMs) {
    for (std::int64_t ms = fromMs; ms < untilMs; ms += 5) {
      Now = ms;
      deliver();
      for (std::size_t i = 0; i < Nodes.size(); ++i)
        step(i, requestsPerSecond, holdMs);
      MaxRunning =
          std::max(MaxRunning, static_cast<std::uint32_t>(Running.size()));
    }
  }

  // Removes the owner of the account and updates the remaining entries.
  void removeOwner() {
    const VmId owner = rendezvousOwner(Account.Value, Ids);
    const auto at = std::find(Ids.begin(), Ids.end(), owner) - Ids.begin();
    Ids.erase(Ids.begin() + at);
    Nodes.erase(Nodes.begin() + at);
    std::erase_if(Running, [&](const auto &it) { return it.second == owner; });
    for (auto &node : Nodes) {
      node.Limiter->setEntries(Ids);
      node.Owner->setEntries(Ids, atMs(Now));
    }
  }

  double LossRate = 0;
  double DuplicateRate = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t Messages = 0;
  std::uint32_t MaxRunning = 0;

private:
  struct Node {
    std::unique_ptr<AccountLimiter> Limiter;
    std::unique_ptr<QuotaOwner> Owner;
  };

  bool chance(double rate) {
    return static_cast<double>(Random() % 1000000) < rate * 1e6;
  }

  Node *nodeOf(const VmId &id) {
    const auto it = std::find(Ids.begin(), Ids.end(), id);
    return it == Ids.end() ? nullptr : &Nodes[it - Ids.begin()];
  }

  template <typename Message>
  void send(std::multimap<std::int64_t, Message> &network, Message message) {
    ++Messages;
    if (!chance(LossRate))
      network.emplace(Now + 2 + Random() % 10, message);
    if (chance(DuplicateRate))
      network.emplace(Now + 2 + Random() % 3000, message);
  }

  void deliver() {
    for (; !Requests.empty() && Requests.begin()->first <= Now;
         Requests.erase(Requests.begin())) {
      const auto &outgoing = Requests.begin()->second;
      Node *owner = nodeOf(outgoing.Owner);
      if (owner == nullptr)
        continue;
      if (auto quotaAnswer = owner->Owner->answer(outgoing.Request, atMs(Now)))
        send(Answers, std::pair(outgoing.Request.Entry, *quotaAnswer));
    }
    for (; !Answers.empty() && Answers.begin()->first <= Now;
         Answers.erase(Answers.begin()))
      if (Node *entry = nodeOf(Answers.begin()->second.first))
        entry->Limiter->applyAnswer(Answers.begin()->second.second, atMs(Now));
    for (; !Running.empty() && Running.begin()->first <= Now;
         Running.erase(Running.begin()))
      if (Node *entry = nodeOf(Running.begin()->second))
        entry->Limiter->onRequestFinished(Account);
  }

  void step(std::size_t i, double requestsPerSecond, std::int64_t holdMs) {
    // The platform's load balancer is uneven: entry i gets a weight of i + 1.
    const auto count = static_cast<double>(Nodes.size());
    const double share = static_cast<double>(i + 1) / (count * (count + 1) / 2);
    if (chance(requestsPerSecond * share * 0.005)) {
      const auto verdict =
          Nodes[i].Limiter->admit(Account, 1, false, atMs(Now));
      if (verdict.Decision == LimitVerdict::Kind::Admitted) {
        ++Admitted;
        Running.emplace(Now + holdMs, Ids[i]);
      }
    }
    for (auto &outgoing : Nodes[i].Limiter->takeDueRequests(atMs(Now)))
      send(Requests, outgoing);
  }

  std::mt19937_64 Random;
  std::vector<VmId> Ids;
  std::vector<Node> Nodes;
  std::multimap<std::int64_t, OutgoingQuotaRequest> Requests;
  std::multimap<std::int64_t, std::pair<VmId, QuotaAnswer>> Answers;
  std::multimap<std::int64_t, VmId> Running;
  std::int64_t Now = 0;
};

} // namespace

// Guards against limits that multiply with the number of entries, and against
// limits that can't be used in full under uneven load. The reference is a
// single token bucket for all entries.
TEST_CASE("the rate limit holds within 5% over all entries", "[quota]") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    QuotaModel model(seed, 8, {100, 10000});
    model.run(0, 60000, 150, 50);
    CHECK(model.Admitted >= 5700);
    CHECK(model.Admitted <= 6300);
    CHECK(model.Messages < 60 * 8 * 2 + 100);
  }
}

// Guards against leasing the same tokens twice after lost, late or duplicate
// messages.
TEST_CASE(
    "the rate limit holds with lost and duplicate messages and a new owner",
    "[quota]") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    QuotaModel model(seed, 8, {100, 10000});
    model.LossRate = 0.05;
    model.DuplicateRate = 0.2;
    model.run(0, 30000, 200, 50);
    model.removeOwner();
    model.run(30000, 60000, 200, 50);
    CHECK(model.Admitted >= 5700);
    CHECK(model.Admitted <= 6300);
  }
}

// Guards against leasing the same concurrency twice, also by a new owner that
// doesn't know what the previous one leased.
TEST_CASE("concurrency never exceeds the limit", "[quota]") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    QuotaModel model(seed, 8, {10000, 40});
    model.LossRate = 0.05;
    model.DuplicateRate = 0.2;
    model.run(0, 20000, 200, 500);
    model.removeOwner();
    model.run(20000, 40000, 200, 500);
    CHECK(model.MaxRunning <= 42);
    CHECK(model.MaxRunning >= 36);
    CHECK(model.Admitted > 0.7 * 40 * 2 * 40);
  }
}

// Guards against an idle account whose first request waits for a whole period.
TEST_CASE("the first request waits for a single exchange", "[quota]") {
  AccountLimiter limiter(VmId{"e"}, Incarnation{1}, QuotaSettings{});
  QuotaOwner owner(VmId{"e"}, QuotaSettings{});
  limiter.setLimits({{Account, {10, 5}}});
  owner.setLimits({{Account, {10, 5}}});
  limiter.setEntries({VmId{"e"}});
  owner.setEntries({VmId{"e"}}, atMs(-10000));
  CHECK(limiter.admit(Account, 1, false, atMs(0)).Decision ==
        LimitVerdict::Kind::Wait);
  const auto due = limiter.takeDueRequests(atMs(0));
  REQUIRE(due.size() == 1);
  CHECK(limiter.takeDueRequests(atMs(10)).empty());
  const auto quotaAnswer = owner.answer(due[0].Request, atMs(2));
  REQUIRE(quotaAnswer);
  limiter.applyAnswer(*quotaAnswer, atMs(4));
  CHECK(limiter.admit(Account, 1, true, atMs(4)).Decision ==
        LimitVerdict::Kind::Admitted);
  limiter.applyAnswer(*quotaAnswer, atMs(5));
  int admitted = 0;
  while (limiter.admit(Account, 1, false, atMs(6)).Decision ==
         LimitVerdict::Kind::Admitted)
    ++admitted;
  CHECK(admitted < 5);
}

// Guards against refusals to an account far below its limits because its lease
// was sized by the demand before a burst.
TEST_CASE("a burst below the limits is not refused", "[quota]") {
  AccountLimiter limiter(VmId{"e"}, Incarnation{1}, QuotaSettings{});
  const std::vector<VmId> entries = {VmId{"e"}, VmId{"f"}};
  QuotaOwner owner(rendezvousOwner(Account.Value, entries), QuotaSettings{});
  limiter.setLimits({{Account, {100, 50}}});
  owner.setLimits({{Account, {100, 50}}});
  limiter.setEntries(entries);
  owner.setEntries(entries, atMs(-10000));
  int refused = 0;
  int admitted = 0;
  int waiting = 0;
  bool leaseArrived = false;
  for (int ms = 0; ms < 1000; ms += 5) {
    waiting += ms == 0 || ms == 500 ? 20 : 0;
    for (; waiting > 0; --waiting) {
      // Only the first request in the queue has waited for a lease before.
      const auto verdict = limiter.admit(
          Account, 1, std::exchange(leaseArrived, false), atMs(ms));
      if (verdict.Decision == LimitVerdict::Kind::Wait)
        break;
      refused += verdict.Decision == LimitVerdict::Kind::Refused;
      admitted += verdict.Decision == LimitVerdict::Kind::Admitted;
    }
    for (auto &outgoing : limiter.takeDueRequests(atMs(ms)))
      if (auto quotaAnswer = owner.answer(outgoing.Request, atMs(ms))) {
        limiter.applyAnswer(*quotaAnswer, atMs(ms));
        leaseArrived = true;
      }
  }
  CHECK(refused == 0);
  CHECK(admitted == 40);
}

// Guards against refusals for two seconds after each restart of an owner:
// requests wait until the owner knows what is leased.
TEST_CASE("requests wait while a new owner withholds quota", "[quota]") {
  AccountLimiter limiter(VmId{"e"}, Incarnation{1}, QuotaSettings{});
  QuotaOwner owner(VmId{"e"}, QuotaSettings{});
  limiter.setLimits({{Account, {100, 50}}});
  owner.setLimits({{Account, {100, 50}}});
  limiter.setEntries({VmId{"e"}});
  owner.setEntries({VmId{"e"}}, atMs(0));
  bool leaseArrived = false;
  std::int64_t admittedAt = -1;
  for (int ms = 0; ms < 3000 && admittedAt < 0; ms += 5) {
    const auto verdict = limiter.admit(Account, 1, leaseArrived, atMs(ms));
    REQUIRE(verdict.Decision != LimitVerdict::Kind::Refused);
    if (verdict.Decision == LimitVerdict::Kind::Admitted)
      admittedAt = ms;
    leaseArrived = false;
    for (auto &outgoing : limiter.takeDueRequests(atMs(ms)))
      if (auto quotaAnswer = owner.answer(outgoing.Request, atMs(ms))) {
        limiter.applyAnswer(*quotaAnswer, atMs(ms));
        leaseArrived = true;
      }
  }
  CHECK(admittedAt >= 1900);
  CHECK(admittedAt <= 2200);
}
