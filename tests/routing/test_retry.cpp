#include "libbergamotrouting/outlierdetector.h"
#include "libbergamotrouting/retrypolicy.h"
#include "routinghelpers.h"

using namespace bergamot::routing;
using namespace bergamot::routing::testing;

namespace {

using Action = RetryVerdict::Action;

RetryCandidate makeCandidate(RequestIdempotency rule, Executed outcome,
                             bool mayHaveSentBytes) {
  RetryCandidate failed;
  failed.Account = AccountId{"a"};
  failed.Service = ServiceId{"s"};
  failed.Rule = rule;
  failed.Attempt = AttemptNumber{1};
  failed.Outcome = outcome;
  failed.MayHaveSentBytes = mayHaveSentBytes;
  failed.Deadline = atMs(1000);
  return failed;
}

RetryVerdict decideOnce(const RetryCandidate &failed) {
  return RetryPolicy({}).decide(failed, atMs(0));
}

} // namespace

// Guards against executing non-idempotent work twice. Covers all combinations;
// only proof that nothing was sent allows another attempt.
TEST_CASE("non-idempotent work is retried only if nothing was sent",
          "[retry]") {
  for (const auto outcome : {Executed::No, Executed::Yes, Executed::Unknown})
    for (const bool sent : {false, true}) {
      const auto nonIdempotent = decideOnce(
          makeCandidate(RequestIdempotency::NonIdempotent, outcome, sent));
      const bool allowed = outcome == Executed::No && !sent;
      CHECK((nonIdempotent.Next == Action::Requeue) == allowed);
      CHECK((nonIdempotent.Next == Action::GiveUp) == !allowed);
      const auto idempotent = decideOnce(
          makeCandidate(RequestIdempotency::Idempotent, outcome, sent));
      CHECK(idempotent.Next == (allowed ? Action::Requeue : Action::Retry));
    }
  // If bytes were sent, a report that they weren't executed is not passed on to
  // the client.
  CHECK(decideOnce(makeCandidate(RequestIdempotency::NonIdempotent,
                                 Executed::No, true))
            .Outcome == Executed::Unknown);
}

// Guards against retries after the deadline or beyond the maximum number of
// attempts.
TEST_CASE("retries stop at the deadline and the maximum number of attempts",
          "[retry]") {
  auto failed =
      makeCandidate(RequestIdempotency::Idempotent, Executed::No, false);
  failed.NotBefore = atMs(1000);
  CHECK(decideOnce(failed).Next == Action::GiveUp);
  failed.NotBefore = atMs(0);
  failed.PriorRefusals = 15;
  CHECK(decideOnce(failed).Next == Action::Requeue);
  failed.PriorRefusals = 16;
  CHECK(decideOnce(failed).Next == Action::GiveUp);
  failed.MayHaveSentBytes = true;
  failed.PriorRefusals = 1;
  failed.Attempt = AttemptNumber{3};
  CHECK(decideOnce(failed).Next == Action::Retry);
  failed.Attempt = AttemptNumber{4};
  CHECK(decideOnce(failed).Next == Action::GiveUp);
}

// Guards against retry storms: whatever fails, retries and hedges add at most
// 10% plus the initial budget. Accounts don't share a budget.
TEST_CASE("retries and hedges add at most 10%", "[retry][differential]") {
  forEachSeed([](std::mt19937_64 &random) {
    RetryPolicy policy({});
    std::uint64_t requests = 0;
    std::uint64_t extra = 0;
    for (int i = 0; i < 2000; ++i) {
      policy.addRequest(AccountId{"a"}, ServiceId{"s"});
      ++requests;
      if (randomBelow(random, 2) == 0)
        extra += policy
                     .decide(makeCandidate(RequestIdempotency::Idempotent,
                                           Executed::Unknown, true),
                             atMs(0))
                     .Next == Action::Retry;
      if (randomBelow(random, 4) == 0)
        extra +=
            policy.tryHedge(AccountId{"a"}, ServiceId{"s"},
                            RequestIdempotency::Idempotent, atMs(5), atMs(5));
      REQUIRE(extra <= requests / 10 + 1);
    }
    REQUIRE(extra >= requests / 10);
    REQUIRE(policy.tryHedge(AccountId{"as"}, ServiceId{""},
                            RequestIdempotency::Idempotent, atMs(5), atMs(5)));
    REQUIRE_FALSE(policy.tryHedge(AccountId{"b"}, ServiceId{"s"},
                                  RequestIdempotency::NonIdempotent, atMs(5),
                                  atMs(5)));
    REQUIRE_FALSE(policy.tryHedge(AccountId{"b"}, ServiceId{"s"},
                                  RequestIdempotency::Idempotent, atMs(5),
                                  atMs(4)));
  });
}

// Guards against memory that grows with the number of account and service
// names.
TEST_CASE("retry budgets are bounded", "[retry]") {
  RetrySettings settings;
  settings.Capacity = 8;
  RetryPolicy policy(settings);
  for (int i = 0; i < 100; ++i)
    policy.addRequest(AccountId{std::to_string(i)}, ServiceId{"s"});
  CHECK(policy.size() == 8);
}

// Guards against ejecting all targets of a service when everything fails, and
// against a target that stays ejected forever.
TEST_CASE("at most one third of the targets is ejected",
          "[outlier][differential]") {
  forEachSeed([](std::mt19937_64 &random) {
    OutlierDetector detector({});
    std::vector<TargetId> targets;
    for (std::uint64_t i = 0; i < 1 + randomBelow(random, 12); ++i)
      targets.push_back(TargetId{std::to_string(i)});
    detector.setTargets(targets);
    std::map<TargetId, bool> ejected;
    for (int step = 0; step < 400; ++step) {
      const auto &target = targets[randomBelow(random, targets.size())];
      ejected[target] = detector.addResult(target, randomBelow(random, 10) > 0,
                                           atMs(step * 20));
      for (const auto &change : detector.unejectExpired(atMs(step * 20)))
        ejected[change.Target] = change.Ejected;
      if (randomBelow(random, 50) == 0 && targets.size() > 1) {
        ejected.erase(targets.back());
        targets.pop_back();
        for (const auto &change : detector.setTargets(targets))
          ejected[change.Target] = change.Ejected;
      }
      std::size_t count = 0;
      for (const auto &[id, flag] : ejected)
        count += flag;
      REQUIRE(count == detector.ejectedCount());
      REQUIRE(count * 3 <= targets.size());
    }
    REQUIRE(detector.unejectExpired(atMs(1000000)).size() <=
            targets.size() / 3);
    REQUIRE(detector.ejectedCount() == 0);
  });
}
