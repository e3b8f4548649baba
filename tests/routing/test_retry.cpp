#include "libbergamotrouting/outlierdetector.h"
#include "libbergamotrouting/retrypolicy.h"
#include "routinghelpers.h"

using namespace bergamot::routing;
using namespace bergamot::routing::testing;

namespace {

using Action = RetryVerdict::Action;

FailedAttempt failedOf(RepeatRule rule, Executed outcome, bool bytesSent) {
  FailedAttempt failed;
  failed.Account = AccountId{"a"};
  failed.Service = ServiceId{"s"};
  failed.Rule = rule;
  failed.Attempt = AttemptNumber{1};
  failed.Outcome = outcome;
  failed.BytesSent = bytesSent;
  failed.Deadline = atMs(1000);
  return failed;
}

RetryVerdict decideOnce(const FailedAttempt &failed) {
  return RetryPolicy({}).decide(failed, atMs(0));
}

} // namespace

// Guards against a second execution of non-idempotent work. The table has all
// combinations; only the proof that nothing was sent allows a repeat.
TEST_CASE("non-idempotent work is repeated only if nothing was sent",
          "[retry]") {
  for (const auto outcome : {Executed::No, Executed::Yes, Executed::Unknown})
    for (const bool sent : {false, true}) {
      const auto once =
          decideOnce(failedOf(RepeatRule::NonIdempotent, outcome, sent));
      const bool allowed = outcome == Executed::No && !sent;
      CHECK((once.Next == Action::Requeue) == allowed);
      CHECK((once.Next == Action::GiveUp) == !allowed);
      const auto many =
          decideOnce(failedOf(RepeatRule::Idempotent, outcome, sent));
      CHECK(many.Next == (allowed ? Action::Requeue : Action::SendAgain));
    }
  // A claim that sent bytes weren't executed is not passed on to the caller.
  CHECK(decideOnce(failedOf(RepeatRule::NonIdempotent, Executed::No, true))
            .Outcome == Executed::Unknown);
}

// Guards against retries past the deadline or the number of attempts.
TEST_CASE("retries end with the deadline and the attempts", "[retry]") {
  auto failed = failedOf(RepeatRule::Idempotent, Executed::No, false);
  failed.NotBefore = atMs(1000);
  CHECK(decideOnce(failed).Next == Action::GiveUp);
  failed.NotBefore = atMs(0);
  failed.RefusedBefore = 15;
  CHECK(decideOnce(failed).Next == Action::Requeue);
  failed.RefusedBefore = 16;
  CHECK(decideOnce(failed).Next == Action::GiveUp);
  failed.BytesSent = true;
  failed.RefusedBefore = 1;
  failed.Attempt = AttemptNumber{3};
  CHECK(decideOnce(failed).Next == Action::SendAgain);
  failed.Attempt = AttemptNumber{4};
  CHECK(decideOnce(failed).Next == Action::GiveUp);
}

// Guards against retry storms: whatever fails, further attempts and hedges
// add at most 10% plus the first budget; accounts don't share it.
TEST_CASE("retries and hedges add at most 10%", "[retry][differential]") {
  forEachSeed([](std::mt19937_64 &random) {
    RetryPolicy policy({});
    std::uint64_t first = 0;
    std::uint64_t further = 0;
    for (int i = 0; i < 2000; ++i) {
      policy.addRequest(AccountId{"a"}, ServiceId{"s"});
      ++first;
      if (below(random, 2) == 0)
        further += policy
                       .decide(failedOf(RepeatRule::Idempotent,
                                        Executed::Unknown, true),
                               atMs(0))
                       .Next == Action::SendAgain;
      if (below(random, 4) == 0)
        further += policy.takeHedge(AccountId{"a"}, ServiceId{"s"},
                                    RepeatRule::Idempotent, atMs(5), atMs(5));
      REQUIRE(further <= first / 10 + 1);
    }
    REQUIRE(further >= first / 10);
    REQUIRE(policy.takeHedge(AccountId{"as"}, ServiceId{""},
                             RepeatRule::Idempotent, atMs(5), atMs(5)));
    REQUIRE_FALSE(policy.takeHedge(AccountId{"b"}, ServiceId{"s"},
                                   RepeatRule::NonIdempotent, atMs(5),
                                   atMs(5)));
    REQUIRE_FALSE(policy.takeHedge(AccountId{"b"}, ServiceId{"s"},
                                   RepeatRule::Idempotent, atMs(5), atMs(4)));
  });
}

// Guards against memory that grows with account and service names.
TEST_CASE("retry budgets are bounded", "[retry]") {
  RetrySettings settings;
  settings.Capacity = 8;
  RetryPolicy policy(settings);
  for (int i = 0; i < 100; ++i)
    policy.addRequest(AccountId{std::to_string(i)}, ServiceId{"s"});
  CHECK(policy.size() == 8);
}

// Guards against ejecting a service away when everything fails, and against a
// target that is kept out for good.
TEST_CASE("at most one third of the targets is ejected",
          "[outlier][differential]") {
  forEachSeed([](std::mt19937_64 &random) {
    OutlierDetector detector({});
    std::vector<TargetId> targets;
    for (std::uint64_t i = 0; i < 1 + below(random, 12); ++i)
      targets.push_back(TargetId{std::to_string(i)});
    detector.setTargets(targets);
    std::map<TargetId, bool> ejected;
    for (int step = 0; step < 400; ++step) {
      const auto &target = targets[below(random, targets.size())];
      ejected[target] =
          detector.addResult(target, below(random, 10) > 0, atMs(step * 20));
      for (const auto &change : detector.removeExpired(atMs(step * 20)))
        ejected[change.Target] = change.Ejected;
      if (below(random, 50) == 0 && targets.size() > 1) {
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
    REQUIRE(detector.removeExpired(atMs(1000000)).size() <= targets.size() / 3);
    REQUIRE(detector.ejectedCount() == 0);
  });
}
