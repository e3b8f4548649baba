// Targets that name in their responses how many requests a second they take.
#include "entryfixture.h"
#include "entrypath/peerreport.h"
#include "entrypath/promptreport.h"
#include "entrypath/ratereport.h"
#include "libbergamotusage/usagemessage.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;

namespace {

TestTarget::Handler respondWith(const std::string &fields) {
  return [=](const auto &head, const auto &, const auto &connection) {
    connection->send(signedResponse(head, "x", 200, fields));
  };
}

/// Sends a request every 20 ms for a time; returns the number of rejections.
int sendSteadily(EntryFixture &fixture, std::chrono::milliseconds time) {
  std::vector<std::shared_ptr<Received>> all;
  const int count = static_cast<int>(time / 20ms);
  for (int i = 0; i < count; ++i) {
    all.push_back(fixture.send(requestText("safe", "r" + std::to_string(i))));
    fixture.run(20ms);
  }
  REQUIRE(fixture.runUntil([&] {
    return std::all_of(all.begin(), all.end(),
                       [](const auto &it) { return it->has("HTTP/1.1 "); });
  }));
  return static_cast<int>(
      std::count_if(all.begin(), all.end(),
                    [](const auto &it) { return it->has("HTTP/1.1 503"); }));
}

gateway::RateStatement statement(const EntryFixture &fixture,
                                 const std::string &target,
                                 std::optional<double> rate) {
  return {gateway::targetHash(target), 0, rate,
          const_cast<EntryFixture &>(fixture).entry().now()};
}

} // namespace

TEST_CASE("work moves away from a target that names a request rate") {
  EntryFixture fixture;
  auto &limited = fixture.addTarget("t1", respondWith("X-Limit: 2.5\r\n"));
  auto &other = fixture.addTarget("t2", respondWith(""));
  sendSteadily(fixture, 400ms);
  const auto before = limited.requestCount();
  const auto startedAt = fixture.entry().now();
  CHECK(sendSteadily(fixture, 2000ms) == 0);
  const std::chrono::duration<double> passed =
      fixture.entry().now() - startedAt;
  // What the rate allows in the time that has passed, and one saved up.
  CHECK(limited.requestCount() - before <= 2.5 * passed.count() + 1);
  CHECK(limited.requestCount() - before >= 3);
  CHECK(other.requestCount() >= 90);
}

TEST_CASE("a target whose limit has ended gets its part of the work again") {
  EntryFixture fixture;
  std::string fields = "X-Limit: 5\r\n";
  auto &limited = fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &connection) {
        connection->send(signedResponse(head, "x", 200, fields));
      });
  fixture.addTarget("t2", respondWith(""));
  sendSteadily(fixture, 200ms);
  fields.clear();
  sendSteadily(fixture, 400ms);
  const auto before = limited.requestCount();
  sendSteadily(fixture, 400ms);
  CHECK(limited.requestCount() - before >= 5);
}

TEST_CASE("callers are rejected at once if limits leave no room in time") {
  EntryFixture fixture;
  auto &limited = fixture.addTarget("t1", respondWith("X-Limit: 0.2\r\n"));
  const auto first = fixture.send(requestText("safe", "first"));
  REQUIRE(fixture.runUntil([&] { return first->has("HTTP/1.1 200"); }));
  const auto sentAt = fixture.entry().now();
  const auto second = fixture.send(requestText("once", "second"));
  REQUIRE(fixture.runUntil([&] { return second->has("HTTP/1.1 "); }));
  CHECK(second->has("HTTP/1.1 503"));
  CHECK(second->has("Retry-After: "));
  CHECK(fixture.entry().now() - sentAt < 100ms);
  CHECK(limited.requestCount() == 1);
}

TEST_CASE("a request waits for its turn if all targets limit their rates") {
  EntryFixture fixture;
  auto &limited = fixture.addTarget("t1", respondWith("X-Limit: 4\r\n"));
  const auto first = fixture.send(requestText("safe", "first"));
  REQUIRE(fixture.runUntil([&] { return first->has("HTTP/1.1 200"); }));
  const auto second = fixture.send(requestText("once", "second"));
  REQUIRE(fixture.runUntil([&] { return second->has("HTTP/1.1 "); }));
  CHECK(second->has("HTTP/1.1 200"));
  CHECK(limited.requestCount() == 2);
}

TEST_CASE("a limit that another entry has heard of applies here too") {
  EntryFixture fixture;
  auto &limited = fixture.addTarget("t1", respondWith("X-Limit: 0.2\r\n"));
  fixture.addTarget("t2", respondWith(""));
  fixture.entry().mergeRateStatements({statement(fixture, "t1", 0.2)});
  sendSteadily(fixture, 400ms);
  CHECK(limited.requestCount() == 0);
  fixture.entry().mergeRateStatements({statement(fixture, "t1", std::nullopt)});
  sendSteadily(fixture, 200ms);
  CHECK(limited.requestCount() > 0);
}

TEST_CASE("reports of request rates are decoded as encoded") {
  const base::TimePoint now{std::chrono::hours(1)};
  const std::vector<gateway::RateStatement> statements{
      {~0U, 1785800000000, 2.625, now - 3s}, {1, 0, std::nullopt, now}};
  const std::string bytes = encodeRateReport(statements, now);
  const auto decoded = decodeRateReport(bytes, now + 1h);
  REQUIRE(decoded);
  REQUIRE(decoded->size() == 2);
  CHECK(decoded->front().Target == ~0U);
  CHECK(decoded->front().StartedAtMs == 1785800000000);
  CHECK(decoded->front().RequestsPerSecond == 2.625);
  CHECK(decoded->front().StatedAt == now + 1h - 3s);
  CHECK_FALSE(decoded->back().RequestsPerSecond);
  for (std::size_t n = 1; n < bytes.size(); ++n)
    if ((n - 1) % ((bytes.size() - 1) / 2) != 0)
      CHECK_FALSE(decodeRateReport(bytes.substr(0, n), now));
  CHECK_FALSE(decodeRateReport("", now));
}

// Old and new versions run side by side during an upgrade.
TEST_CASE("a version without reports of request rates discards them") {
  const base::TimePoint now{std::chrono::hours(1)};
  const std::string bytes = encodeRateReport({{1, 2, 3.0, now}}, now);
  // How the former version handles a datagram: as evidence on prompts, as a
  // report of requests in flight, or as a usage message.
  CHECK_FALSE(isPromptReport(bytes));
  CHECK_FALSE(isReport(bytes));
  CHECK_FALSE(decodeReport(bytes));
  CHECK_FALSE(usage::decodeUsageMessage(bytes));
  // And this one takes the former version's for what they are.
  CHECK_FALSE(isRateReport(encodeReport({"entry", {{1, 2}}})));
  CHECK_FALSE(isRateReport(encodePromptReport({}, now)));
  for (const auto &it : usage::encodeUsageMessage({}))
    CHECK_FALSE(isRateReport(it));
}

TEST_CASE("an entry heeds a limit beside entries that send no rate reports") {
  EntryFixture fixture;
  auto &limited = fixture.addTarget("t1", respondWith("X-Limit: 2\r\n"));
  fixture.addTarget("t2", respondWith(""));
  fixture.entry().setEntryNames({"old-1", "old-2"}, true);
  fixture.entry().setPeerRequestCounts("old-1", {});
  fixture.entry().setPeerRequestCounts("old-2", {});
  sendSteadily(fixture, 300ms);
  const auto before = limited.requestCount();
  const auto startedAt = fixture.entry().now();
  CHECK(sendSteadily(fixture, 1000ms) == 0);
  const std::chrono::duration<double> passed =
      fixture.entry().now() - startedAt;
  // A third of the rate, and one request saved up.
  CHECK(limited.requestCount() - before <= 2.0 / 3 * passed.count() + 1);
}
