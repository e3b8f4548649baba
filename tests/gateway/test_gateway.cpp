#include "libbergamotgateway/attemptpolicy.h"
#include "libbergamotgateway/enginelimit.h"
#include "libbergamotgateway/eventsplitter.h"
#include "libbergamotgateway/groupprogress.h"
#include "libbergamotgateway/loadtracker.h"
#include "libbergamotgateway/rankslowdowns.h"
#include "libbergamotgateway/retrybudget.h"
#include "libbergamotgateway/routetable.h"
#include "libbergamotgateway/targetdirectory.h"
#include "libbergamotgateway/targethealth.h"
#include "libbergamotgateway/targetselection.h"
#include "libbergamotgateway/targetshares.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace bergamot;
using namespace bergamot::gateway;
using namespace std::chrono_literals;

namespace {

TimePoint at(std::chrono::milliseconds time) { return TimePoint() + time; }

Route makeRoute(const std::string &host, const std::string &prefix) {
  Route route;
  route.Name = host + prefix;
  route.Host = host;
  route.PathPrefix = prefix;
  route.Services = {{"s", 1}};
  return route;
}

/// Reference implementation: a linear scan over all routes.
const Route *linearScan(const std::vector<Route> &routes,
                        const std::string &host, const std::string &path) {
  const Route *best = nullptr;
  for (const auto &it : routes)
    if (it.Host == host && path.starts_with(it.PathPrefix) &&
        (!best || it.PathPrefix.size() > best->PathPrefix.size()))
      best = &it;
  return best;
}

TargetRecord makeRecord(const std::string &id,
                        const std::string &address = "a") {
  TargetRecord it;
  it.Id = id;
  it.Service = "s";
  it.Address = address;
  it.FailureDomain = "d";
  it.Slots = 4;
  return it;
}

} // namespace

TEST_CASE("route selects the longest matching prefix") {
  std::mt19937_64 random(7);
  const auto segment = [&] {
    return std::string(1, char('a' + random() % 3)) + "/";
  };
  for (int round = 0; round < 200; ++round) {
    std::vector<Route> routes;
    std::set<std::string> names;
    for (int i = 0; i < 12; ++i) {
      std::string prefix = "/";
      for (std::uint64_t n = random() % 4; n > 0; --n)
        prefix += segment();
      const std::string host = random() % 2 == 0 ? "x.example" : "y.example";
      if (names.insert(host + prefix).second)
        routes.push_back(makeRoute(host, prefix));
    }
    const RouteTable table(1, routes, {}, {}, {});
    for (int i = 0; i < 50; ++i) {
      std::string path = "/";
      for (std::uint64_t n = random() % 5; n > 0; --n)
        path += segment();
      path += "end";
      const Route *expected = linearScan(routes, "x.example", path);
      const Route *found = table.route("X.example:80", path + "?q=/a/b/");
      REQUIRE((found == nullptr) == (expected == nullptr));
      if (found)
        REQUIRE(found->Name == expected->Name);
    }
  }
}

TEST_CASE("services are selected by weight") {
  Route route = makeRoute("h", "/");
  route.Services = {{"a", 90}, {"b", 10}};
  CHECK(chooseService(route, 0.0) == "a");
  CHECK(chooseService(route, 0.899) == "a");
  CHECK(chooseService(route, 0.901) == "b");
  CHECK(chooseService(route, 0.999) == "b");
}

TEST_CASE("event stream is split at event boundaries however it is chunked") {
  // An event must not be forwarded in part and then resumed at another target.
  std::string body;
  for (int i = 1; i <= 9; ++i)
    body += "id: " + std::to_string(i) + "\ndata: x" + std::to_string(i) +
            (i % 2 == 0 ? "\n\n" : "\r\n\r\n");
  std::mt19937_64 random(3);
  for (int round = 0; round < 300; ++round) {
    EventSplitter splitter;
    std::string out;
    std::string fed;
    for (std::size_t pos = 0; pos < body.size();) {
      const std::size_t n =
          std::min<std::size_t>(1 + random() % 11, body.size() - pos);
      fed += body.substr(pos, n);
      out += splitter.push(body.substr(pos, n));
      pos += n;
      REQUIRE(fed == out + splitter.partialEvent());
      REQUIRE(
          (out.empty() || out.ends_with("\n\n") || out.ends_with("\n\r\n")));
    }
    REQUIRE(out == body);
    REQUIRE(splitter.lastEventId() == "9");
    REQUIRE(splitter.eventCount() == 9);
  }
}

TEST_CASE("incomplete event is withheld and can be discarded") {
  EventSplitter splitter;
  CHECK(splitter.push("id: 4\ndata: a\n\nid: 5\nda") == "id: 4\ndata: a\n\n");
  CHECK(splitter.lastEventId() == "4");
  splitter.dropPartialEvent();
  CHECK(splitter.push("id: 5\ndata: b\n\n") == "id: 5\ndata: b\n\n");
}

TEST_CASE("only events after the last one continue a stream") {
  EventSplitter splitter;
  CHECK(splitter.mayContinueWith("data: a\n\n"));
  splitter.push("id: 9\ndata: a\n\n");
  CHECK(splitter.mayContinueWith("id: 10\ndata: b\n\n"));
  CHECK(splitter.mayContinueWith("version: 2\r\nid: 10\r\ndata\r\n\r\n"));
  CHECK(splitter.mayContinueWith("id: 1\ndata: b\n"));
  CHECK_FALSE(splitter.mayContinueWith("id: 1\ndata: b\n\n"));
  CHECK_FALSE(splitter.mayContinueWith("id: 9\ndata: a\n\nid: 10\ndata\n\n"));
  CHECK_FALSE(splitter.mayContinueWith("data: b\n\nid: 10\ndata: b\n\n"));
  splitter.push("id: 1");
  CHECK(splitter.mayContinueWith("0\ndata: b\n\n"));
  CHECK_FALSE(splitter.mayContinueWith("\ndata: b\n\n"));
  splitter.dropPartialEvent();
  splitter.push("id: a\ndata: c\n\n");
  CHECK(splitter.mayContinueWith("id: b\ndata: d\n\n"));
  CHECK_FALSE(splitter.mayContinueWith("id: a\ndata: c\n\n"));
}

// Guards against streams that aren't resumed since a target sends comments to
// keep its connection open.
TEST_CASE("blocks without data tell nothing of where a stream goes on") {
  EventSplitter splitter;
  splitter.push(": ok\n\nretry: 100\n\n");
  CHECK(splitter.isResumable());
  splitter.push("id: 5\ndata: a\n\n: keep-alive\n\n");
  CHECK(splitter.isResumable());
  CHECK(splitter.lastEventId() == "5");
  CHECK(splitter.mayContinueWith("\n: ok\n\nid: 6\ndata: b\n\n"));
  CHECK_FALSE(splitter.mayContinueWith(": ok\n\nid: 5\ndata: a\n\n"));
}

TEST_CASE("a stream is resumable while its last event has an id") {
  EventSplitter splitter;
  CHECK(splitter.isResumable());
  splitter.push("id: 1\r\ndata: a\r\n\r\ndata: b");
  CHECK(splitter.isResumable());
  splitter.push("\r\n\r\n");
  CHECK_FALSE(splitter.isResumable());
  splitter.push("data: c\n\nid: 3\ndata: d\n\n");
  CHECK(splitter.isResumable());
  splitter.push("id:\ndata: e\n\n");
  CHECK_FALSE(splitter.isResumable());
}

TEST_CASE("retries of all entries stay within the bound in every window") {
  // Each entry might stay within its own part of the bound while all of them
  // together exceed it.
  const RetryBound bound{0.2, 40, 10s};
  constexpr unsigned Entries = 5;
  std::mt19937_64 random(11);
  std::vector<RetryBudget> budgets(Entries, RetryBudget(bound, at(-10000ms)));
  std::vector<TimePoint> requests;
  std::vector<TimePoint> retries;
  for (auto now = 0ms; now < 60000ms; now += 5ms) {
    const bool burst = now > 20000ms && now < 30000ms;
    if (random() % (burst ? 1 : 8) == 0) {
      budgets[random() % Entries].addRequest(at(now));
      requests.push_back(at(now));
    }
    if (budgets[random() % Entries].takeRetry(8, at(now)))
      retries.push_back(at(now));
  }
  const auto countWithin = [](const std::vector<TimePoint> &times,
                              TimePoint from, TimePoint to) {
    return std::count_if(times.begin(), times.end(),
                         [&](TimePoint it) { return it >= from && it < to; });
  };
  CHECK(retries.size() > 100);
  for (auto end = 10000ms; end <= 60000ms; end += 100ms) {
    const double maximum = 0.2 * static_cast<double>(countWithin(
                                     requests, at(end - 10000ms), at(end))) +
                           40;
    REQUIRE(static_cast<double>(
                countWithin(retries, at(end - 10000ms), at(end))) <= maximum);
  }
}

TEST_CASE("changed retry bound still counts earlier retries") {
  RetryBudget budget({0.5, 2, 10s}, at(-10000ms));
  for (int i = 0; i < 4; ++i)
    budget.addRequest(at(0ms));
  for (int i = 0; i < 4; ++i)
    REQUIRE(budget.takeRetry(1, at(0ms)));
  CHECK_FALSE(budget.canRetry(1, at(0ms)));
  budget.setBound({0.5, 3, 10s});
  CHECK(budget.takeRetry(1, at(0ms)));
  CHECK_FALSE(budget.canRetry(1, at(0ms)));
  budget.setBound({0.5, 0, 10s});
  CHECK_FALSE(budget.canRetry(1, at(0ms)));
}

TEST_CASE(
    "target whose record expires in an outage is retained for a grace period") {
  // The store was unreachable for five seconds.
  TargetDirectory directory(2000ms, 2000ms, 3000ms);
  directory.setTarget(makeRecord("a"), at(0ms));
  directory.removeTarget("a", {false, at(-4900ms), at(100ms)}, at(100ms));
  directory.removeExpiredTargets(at(2000ms));
  CHECK(directory.target("a"));
  SECTION("retained if the record reappears") {
    directory.setTarget(makeRecord("a"), at(2000ms));
    directory.removeExpiredTargets(at(9000ms));
    CHECK(directory.target("a"));
  }
  SECTION("removed after the grace period otherwise") {
    directory.removeExpiredTargets(at(2100ms));
    CHECK_FALSE(directory.target("a"));
  }
}

TEST_CASE("the grace period counts from the store's return") {
  TargetDirectory directory(2000ms, 2000ms, 3000ms);
  directory.setTarget(makeRecord("a"), at(0ms));
  directory.removeTarget("a", {false, at(0ms), at(5000ms)}, at(6500ms));
  directory.removeExpiredTargets(at(6990ms));
  CHECK(directory.target("a"));
  directory.removeExpiredTargets(at(7000ms));
  CHECK_FALSE(directory.target("a"));
}

TEST_CASE("removal takes effect at once while the store is available") {
  TargetDirectory directory(2000ms, 2000ms, 3000ms);
  directory.setTarget(makeRecord("a"), at(0ms));
  directory.removeTarget("a", {true, at(50ms), at(0ms)}, at(100ms));
  CHECK_FALSE(directory.target("a"));
}

TEST_CASE("draining target gets no grace period") {
  TargetDirectory directory(2000ms, 2000ms, 3000ms);
  TargetRecord draining = makeRecord("a");
  draining.Draining = true;
  directory.setTarget(draining, at(0ms));
  directory.removeTarget("a", {false, at(-4900ms), std::nullopt}, at(100ms));
  CHECK_FALSE(directory.target("a"));
}

TEST_CASE("a target that drains stays so if the store is restored") {
  using RecordAge = TargetDirectory::RecordAge;
  TargetDirectory directory(2000ms, 1500ms, 3000ms);
  TargetRecord record;
  record.Id = "t";
  record.Address = "10.0.0.1:1";
  record.StartedAtMs = 5;
  record.Draining = true;
  directory.setTarget(record, at(0ms));
  record.Draining = false;
  directory.setTarget(record, at(100ms), RecordAge::MaybeOlder);
  CHECK_FALSE(directory.isUsable(*directory.target("t")));
  // Neither a restart nor a record of its own once the store has settled is in
  // doubt.
  ++record.StartedAtMs;
  directory.setTarget(record, at(200ms), RecordAge::MaybeOlder);
  CHECK(directory.isUsable(*directory.target("t")));
  record.Draining = true;
  directory.setTarget(record, at(300ms));
  record.Draining = false;
  directory.setTarget(record, at(3000ms));
  CHECK(directory.isUsable(*directory.target("t")));
}

TEST_CASE("newer target replaces an older one at the same address") {
  // Requests must not go to a stopped target whose address is in use again.
  TargetDirectory directory(2000ms, 2000ms, 3000ms);
  TargetRecord older = makeRecord("old", "10.0.0.1:80");
  older.StartedAtMs = 100;
  TargetRecord newer = makeRecord("new", "10.0.0.1:80");
  newer.StartedAtMs = 200;
  directory.setTarget(older, at(0ms));
  directory.setTarget(newer, at(10ms));
  CHECK_FALSE(directory.target("old"));
  CHECK(directory.target("new"));
}

TEST_CASE("targets of an evacuated failure domain get no new work") {
  TargetDirectory directory(2000ms, 2000ms, 3000ms);
  directory.setTarget(makeRecord("a"), at(0ms));
  directory.setEvacuated("d", true);
  CHECK_FALSE(directory.isUsable(*directory.target("a")));
  directory.setEvacuated("d", false);
  CHECK(directory.isUsable(*directory.target("a")));
}

TEST_CASE("load reported by a stopped entry expires") {
  LoadTracker loads(1500ms);
  loads.addLocalRequest("t");
  loads.setReport("other", {{targetHash("t"), 3}, {targetHash("u"), 1}},
                  at(0ms));
  CHECK(loads.total("t") == 4);
  CHECK(loads.total("u") == 1);
  CHECK(loads.liveEntryCount() == 2);
  loads.removeExpired(at(1400ms));
  CHECK(loads.total("t") == 4);
  loads.setReport("other", {{targetHash("t"), 2}}, at(1400ms));
  CHECK(loads.total("t") == 3);
  CHECK(loads.total("u") == 0);
  loads.removeExpired(at(2900ms));
  CHECK(loads.total("t") == 1);
  CHECK(loads.liveEntryCount() == 1);
  loads.removeLocalRequest("t");
  CHECK(loads.total("t") == 0);
}

TEST_CASE("totals over reports match a scan over all reports") {
  std::mt19937_64 random(23);
  LoadTracker loads(1500ms);
  std::map<std::string, std::map<std::string, std::uint32_t>> reports;
  std::map<std::string, TimePoint> reportedAt;
  for (int round = 0; round < 2000; ++round) {
    const TimePoint now = at(round * 20ms);
    const std::string entry = "e" + std::to_string(random() % 12);
    RequestCounts counts;
    auto &report = reports[entry];
    report.clear();
    for (int i = 0; i < 9; ++i)
      if (random() % 2)
        report["t" + std::to_string(i)] =
            static_cast<std::uint32_t>(random() % 4);
    for (const auto &[target, requests] : report)
      counts.emplace_back(targetHash(target), requests);
    loads.setReport(entry, counts, now);
    reportedAt[entry] = now;
    loads.removeExpired(now);
    const std::string target = "t" + std::to_string(random() % 9);
    std::uint32_t sum = 0;
    for (const auto &[name, it] : reports)
      if (reportedAt[name] + 1500ms > now && it.contains(target))
        sum += it.at(target);
    REQUIRE(loads.total(target) == sum);
  }
}

TEST_CASE("entries together stay within the rate limit of a cold target") {
  // A target becomes cold before the entries learn of it, while all of them
  // send to it. Covers deployments of 3 to 330 entries and targets that can
  // handle 14 to 32 requests per second, of which entries use nine tenths.
  for (const unsigned count : {1U, 3U, 13U, 54U, 330U}) {
    std::set<std::string> names;
    for (unsigned i = 0; i < count; ++i)
      names.insert("entry-" + std::to_string(i));
    std::vector<TargetShares> shares(count);
    std::size_t index = 0;
    for (const auto &it : names)
      shares[index++].setEntries(it, names);
    for (const double rateLimit : {12.6, 28.8, 0.5}) {
      std::vector<unsigned> targetCounts(count, 0);
      constexpr unsigned Targets = 192;
      for (unsigned t = 0; t < Targets; ++t) {
        // An entry sends whole requests in each second.
        double sum = 0;
        for (unsigned e = 0; e < count; ++e) {
          const double maximum =
              shares[e].requestsPerSecond("i-" + std::to_string(t), rateLimit);
          sum += std::floor(maximum);
          targetCounts[e] += maximum >= 1 ? 1 : 0;
        }
        CAPTURE(count, rateLimit, t);
        REQUIRE(sum <= std::max(1.0, rateLimit));
        REQUIRE(sum >= 1);
      }
      // Targets are spread about evenly, so that every entry can use some.
      const double mean = std::min<double>(
          Targets, Targets * std::floor(std::max(1.0, rateLimit)) / count);
      if (mean >= 20) {
        CAPTURE(count, rateLimit, mean);
        CHECK(*std::min_element(targetCounts.begin(), targetCounts.end()) >
              mean / 2);
      }
    }
  }
}

// Each start of an entry granted its share of the same second again.
TEST_CASE("entries that restart within a second don't exceed a cold target's "
          "rate limit") {
  constexpr double BearableOverage = 1.5;
  for (const unsigned count : {1U, 4U, 13U, 54U}) {
    std::set<std::string> names;
    for (unsigned i = 0; i < count; ++i)
      names.insert("entry-" + std::to_string(i));
    for (const double rateLimit : {14.0, 32.0}) {
      double before = 0;
      double after = 0;
      for (const auto &name : names) {
        TargetShares shares;
        shares.setEntries(name, names);
        before += std::floor(
            shares.requestsPerSecond("t", coldRateFraction(1h) * rateLimit));
        after += std::floor(
            shares.requestsPerSecond("t", coldRateFraction(0s) * rateLimit));
      }
      CAPTURE(count, rateLimit);
      CHECK(before + after <= BearableOverage * rateLimit);
      CHECK(after >= 1);
    }
  }
  CHECK(coldRateFraction(1s) == coldRateFraction(1h));
}

TEST_CASE("adding or removing an entry changes few shares") {
  std::set<std::string> names;
  for (int i = 0; i < 54; ++i)
    names.insert("entry-" + std::to_string(i));
  TargetShares before;
  before.setEntries("entry-7", names);
  names.erase("entry-30");
  TargetShares after;
  after.setEntries("entry-7", names);
  int changed = 0;
  for (int t = 0; t < 192; ++t) {
    const std::string target = "i-" + std::to_string(t);
    const double oldRate = before.requestsPerSecond(target, 12);
    const double newRate = after.requestsPerSecond(target, 12);
    CHECK(newRate >= oldRate);
    changed += newRate == oldRate ? 0 : 1;
  }
  CHECK(changed <= 4);
}

TEST_CASE("least loaded target is selected and full targets never are") {
  const std::vector<Candidate> full = {{"a", 4, 4, true, 0},
                                       {"b", 9, 4, false, 0}};
  CHECK(chooseTarget(full, 0.5) == -1);
  const std::vector<Candidate> candidates = {
      {"a", 3, 4, true, 0}, {"b", 1, 4, false, 0}, {"c", 4, 4, true, 0}};
  for (double draw = 0; draw < 1; draw += 0.1)
    CHECK(chooseTarget(candidates, draw) == 1);
}

TEST_CASE("targets in the same failure domain win ties and failing ones are "
          "avoided") {
  const std::vector<Candidate> sameDomain = {{"a", 1, 12, false, 0},
                                             {"b", 1, 12, true, 0}};
  CHECK(chooseTarget(sameDomain, 0.9) == 1);
  const std::vector<Candidate> failing = {{"a", 0, 6, true, 0.6},
                                          {"b", 2, 6, false, 0}};
  CHECK(chooseTarget(failing, 0.1) == 1);
}

TEST_CASE("a target's penalty decays over time") {
  TargetHealth health({0.25, 3s});
  for (int i = 0; i < 10; ++i)
    health.addResult("t", true, at(0ms));
  CHECK(health.penalty("t", at(0ms)) > 0.9);
  CHECK(health.penalty("t", at(3000ms)) == Approx(0.47).margin(0.05));
  CHECK(health.penalty("t", at(30000ms)) < 0.01);
}

TEST_CASE("retry decisions never violate the execution guarantees") {
  // Covers all combinations and checks each one against the guarantees
  // themselves.
  const AttemptFailure failures[] = {
      AttemptFailure::NotSent, AttemptFailure::Refused,
      AttemptFailure::Misdirected, AttemptFailure::ErrorResponse,
      AttemptFailure::Lost};
  for (const auto failure : failures)
    for (const auto rule :
         {RequestIdempotency::Idempotent, RequestIdempotency::NonIdempotent})
      for (const bool resumable : {false, true})
        for (const bool responseStarted : {false, true})
          for (const std::uint32_t executedBefore : {0U, 1U})
            for (const std::uint32_t dispatches : {1U, 2U, 3U}) {
              const bool mayHaveExecuted =
                  failure == AttemptFailure::Lost ||
                  failure == AttemptFailure::ErrorResponse;
              FailedAttempt failed;
              failed.Failure = failure;
              failed.Idempotency = rule;
              failed.Resumable = resumable;
              failed.ResponseStarted = responseStarted;
              failed.PossibleExecutions =
                  executedBefore + (mayHaveExecuted ? 1 : 0);
              failed.Dispatches = dispatches;
              failed.MaxAttempts = 2;
              const RetryDecision decision = decideRetry(failed);
              const bool atMostOnce =
                  rule == RequestIdempotency::NonIdempotent && !resumable;
              if (atMostOnce && failed.PossibleExecutions > 0) {
                REQUIRE(decision != RetryDecision::Retry);
                REQUIRE(decision != RetryDecision::Reject);
              }
              if (dispatches >= 2)
                REQUIRE(decision != RetryDecision::Retry);
              if (responseStarted &&
                  (!resumable || decision != RetryDecision::Retry))
                REQUIRE(decision == RetryDecision::AbortResponse);
            }
}

// Guards against a response that begins with one target's bytes and goes on
// with another's: only a target that resumes it may continue it.
TEST_CASE("a response in progress is continued only by resuming it") {
  std::uint32_t cases = 0;
  for (const auto failure :
       {AttemptFailure::NotSent, AttemptFailure::Refused,
        AttemptFailure::Misdirected, AttemptFailure::ErrorResponse,
        AttemptFailure::Lost})
    for (const auto rule :
         {RequestIdempotency::Idempotent, RequestIdempotency::NonIdempotent})
      for (const bool resumable : {false, true})
        for (const bool responseStarted : {false, true})
          for (std::uint32_t executions = 0; executions <= 3; ++executions)
            for (std::uint32_t dispatches = 0; dispatches <= 4; ++dispatches)
              for (std::uint32_t maxAttempts = 0; maxAttempts <= 3;
                   ++maxAttempts) {
                const FailedAttempt failed{
                    failure,    rule,       resumable,  responseStarted,
                    executions, dispatches, maxAttempts};
                CAPTURE(failureName(failure), rule, resumable, responseStarted,
                        executions, dispatches, maxAttempts);
                const bool mayHaveExecuted =
                    executions > 0 || failure == AttemptFailure::Lost ||
                    failure == AttemptFailure::ErrorResponse;
                const bool mayRunAgain =
                    rule == RequestIdempotency::Idempotent || resumable ||
                    !mayHaveExecuted;
                RetryDecision expected = RetryDecision::ReportUnknown;
                if (dispatches < maxAttempts && mayRunAgain &&
                    (!responseStarted || resumable))
                  expected = RetryDecision::Retry;
                else if (responseStarted)
                  expected = RetryDecision::AbortResponse;
                else if (failure == AttemptFailure::ErrorResponse)
                  expected = RetryDecision::RelayError;
                else if (!mayHaveExecuted)
                  expected = RetryDecision::Reject;
                REQUIRE(decideRetry(failed) == expected);
                ++cases;
              }
  CHECK(cases == 5 * 2 * 2 * 2 * 4 * 5 * 4);
}

TEST_CASE("stream limit keeps passes short right after a popularity shift") {
  // Popularity shifts while every engine runs at its stream limit.
  EngineProfile engine;
  engine.StepBaseMs = 4.55;
  engine.StepMsPerSequence = 0.905;
  engine.StepsPerPass = 4;
  engine.Slots = 12;
  engine.LayerSets = 3;
  engine.ExpertWorkFraction = 0.85;
  const auto passMs = [&](std::uint32_t streams, double skew) {
    return 4 * (4.55 + 0.905 * streams * (0.15 + 0.85 * skew));
  };
  const std::uint32_t limit = maxConcurrentStreams(engine, 120ms);
  CHECK(passMs(limit, 3.2) <= 96);
  CHECK(passMs(limit + 1, 3.2) > 96);
  CHECK(passMs(engine.Slots, 3.2) > 120);
  engine.LayerSets = 0;
  CHECK(maxConcurrentStreams(engine, 120ms) == 12);
  CHECK(maxConcurrentStreams(engine, 0ms) == 12);
  CHECK(maxConcurrentStreams(engine, 1ms) == 1);
}

TEST_CASE("stalled group gets single probe requests until it makes progress") {
  // After a power loss, the group refuses a request 1.5 s after it was sent and
  // recovers at 1.8 s. Requests must not use up their attempts before that.
  GroupProgress groups;
  int sent = 0;
  for (auto t = 0ms; t < 1800ms; t += 10ms) {
    if (t == 1500ms)
      groups.recordRefusal("g", at(0ms), at(t));
    if (!groups.mayDispatch("g", at(t)))
      continue;
    groups.recordDispatch("g", at(t));
    ++sent;
  }
  CHECK(sent == 6); // 180 without the probe limit
  CHECK_FALSE(groups.isReady("g", at(1800ms)));
  groups.recordProgress("g", at(1800ms));
  CHECK(groups.isReady("g", at(1800ms)));
  for (auto t = 1800ms; t < 2200ms; t += 10ms) {
    REQUIRE(groups.mayDispatch("g", at(t)));
    groups.recordDispatch("g", at(t));
  }
  // After 500 ms without an event, the group counts as stalled again.
  CHECK_FALSE(groups.isReady("g", at(2300ms)));
  CHECK(groups.isReady("other", at(2300ms)));
}

TEST_CASE("re-formed group counts as ready before its first event") {
  // After a power loss, the restarted ranks refuse requests immediately until
  // their group has re-formed at 1,000 ms. Its first event comes at 1,110 ms.
  GroupProgress groups;
  TimePoint sentAt;
  int refused = 0;
  auto readySince = 0ms;
  for (auto t = 0ms; t < 1300ms && readySince == 0ms; t += 5ms) {
    if (groups.isReady("g", at(t)) && refused > 0) {
      readySince = t;
    } else if (groups.mayDispatch("g", at(t))) {
      groups.recordDispatch("g", at(t));
      sentAt = at(t);
      if (t < 1000ms) {
        groups.recordRefusal("g", sentAt, sentAt + 2ms);
        ++refused;
      }
    }
  }
  CHECK(readySince > 1000ms);
  CHECK(readySince <= 1290ms);
  CHECK(refused <= 10);
  // If no event follows, the group wasn't ready, and probing resumes.
  CHECK_FALSE(groups.isReady("g", at(2000ms)));
  CHECK(groups.mayDispatch("g", at(2000ms)));
}

TEST_CASE("quick refusal by a full target doesn't mark its group as stalled") {
  GroupProgress groups;
  groups.recordDispatch("g", at(0ms));
  groups.recordProgress("g", at(5ms));
  groups.recordRefusal("g", at(10ms), at(20ms));
  CHECK(groups.isReady("g", at(30ms)));
}

TEST_CASE("slow ranks get fewer requests and very slow ones none") {
  // One engine of a group is slower by a factor of two to twelve.
  RankSlowdowns slowdowns;
  const auto limit = [&](std::uint32_t rank, std::chrono::milliseconds t) {
    return slowdowns.limit("g", rank, 12, 6, at(t));
  };
  CHECK(limit(3, 0ms) == 6);
  slowdowns.setSlowdown("g", 3, 2, at(1000ms));
  CHECK(limit(3, 0ms) == 3);
  CHECK(limit(4, 0ms) == 6);
  slowdowns.setSlowdown("g", 3, 12, at(1000ms));
  CHECK(limit(3, 0ms) == 0);
  CHECK(limit(3, 1000ms) == 6);
  // If all ranks are slow, the group must still get requests.
  for (std::uint32_t r = 0; r < 12; ++r)
    slowdowns.setSlowdown("g", r, 12, at(9000ms));
  CHECK(limit(3, 2000ms) == 1);
  slowdowns.setSlowdown("g", 3, 1, at(9000ms));
  CHECK(limit(3, 2000ms) == 6);
}

TEST_CASE(
    "unresponsive target is avoided until a given time without a penalty") {
  TargetHealth health(HealthSettings{});
  health.markUnresponsive("t", at(1500ms));
  CHECK(health.isUnresponsive("t", at(1499ms)));
  CHECK_FALSE(health.isUnresponsive("t", at(1500ms)));
  CHECK_FALSE(health.isUnresponsive("other", at(0ms)));
  CHECK(health.penalty("t", at(0ms)) == 0);
}
