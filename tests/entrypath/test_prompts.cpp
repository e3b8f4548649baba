// Requests whose prompts crash targets.
#include "entryfixture.h"
#include "entrypath/peerreport.h"
#include "entrypath/promptreport.h"
#include "libbergamotusage/usagemessage.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using gateway::PartEvidence;

namespace {

void respond(const adaptertcp::RequestHead &head, const std::string &,
             const TestTarget::Connection &connection) {
  connection->send(signedResponse(head, "data: 1\n\n"));
}

std::string promptRequest(const std::string &id, const std::string &part) {
  return requestText("stream", id, "X-Part: " + part + "\r\n");
}

gateway::PromptPart partOf(const std::string &id) {
  return gateway::promptParts("s", {id}).front();
}

/// Two crashes of a part that never had a response.
PartEvidence blockedPart(const std::string &id, base::TimePoint now) {
  return {partOf(id), {{1, now - 2s}, {2, now - 1s}}, {}, {}};
}

} // namespace

// The request was sent to the next target, which crashed, too.
TEST_CASE("a request at a crashed target isn't sent to another one") {
  EntryFixture fixture;
  std::vector<TestTarget *> targets;
  std::uint32_t crashes = 0;
  for (const char *id : {"t1", "t2"})
    targets.push_back(&fixture.addTarget(
        id, [&, i = targets.size()](const auto &head, const auto &body,
                                    const auto &connection) {
          if (head.Headers.value("X-Part") == "harmful") {
            ++crashes;
            targets[i]->crash();
          } else {
            respond(head, body, connection);
          }
        }));
  const auto harmful = fixture.send(promptRequest("r1", "harmful"));
  REQUIRE(fixture.runUntil([&] { return harmful->has("HTTP/1.1 "); }));
  CHECK(harmful->has("HTTP/1.1 502"));
  const auto next = fixture.send(promptRequest("r2", "harmful"));
  REQUIRE(fixture.runUntil([&] { return next->has("HTTP/1.1 "); }));
  CHECK(next->has("HTTP/1.1 503"));
  CHECK(next->has("Retry-After: "));
  CHECK(crashes == 1);
  SECTION("requests without the part are served") {
    const auto sound = fixture.send(promptRequest("r3", "sound"));
    REQUIRE(fixture.runUntil([&] { return sound->has("HTTP/1.1 "); }));
    CHECK(sound->has("HTTP/1.1 200"));
  }
}

TEST_CASE("a lost connection to a target that runs accuses no prompt") {
  EntryFixture fixture;
  bool lost = false;
  for (const char *id : {"t1", "t2"})
    fixture.addTarget(
        id, [&](const auto &head, const auto &body, const auto &connection) {
          if (std::exchange(lost, true))
            respond(head, body, connection);
          else
            connection->abort();
        });
  const auto received = fixture.send(promptRequest("r1", "sound"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 200"));
  CHECK(fixture.entry().promptSuspects().isEmpty());
}

TEST_CASE("a blocked prompt is rejected at once and no target gets it") {
  EntryFixture fixture;
  auto &target = fixture.addTarget("t1", respond);
  fixture.entry().mergePromptEvidence(
      {blockedPart("harmful", fixture.entry().now())});
  const auto received = fixture.send(promptRequest("r1", "harmful"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 503"));
  CHECK(target.requestCount() == 0);
}

TEST_CASE("a request in flight is aborted if its prompt becomes blocked") {
  EntryFixture fixture;
  auto &target =
      fixture.addTarget("t1", [](const auto &, const auto &, const auto &) {});
  const auto received = fixture.send(promptRequest("r1", "harmful"));
  REQUIRE(fixture.runUntil([&] { return target.requestCount() == 1; }));
  fixture.entry().mergePromptEvidence(
      {blockedPart("harmful", fixture.entry().now())});
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 502"));
  CHECK(fixture.runUntil([&] { return target.closedCount() == 1; }));
}

TEST_CASE("reports of suspected prompts are decoded as encoded") {
  const base::TimePoint now{std::chrono::hours(1)};
  const std::vector<PartEvidence> parts{
      {~0ULL, {{1, now - 5s}, {~0ULL, now - 100ms}}, now - 7s, now},
      {2, {}, {}, {}}};
  const std::string bytes = encodePromptReport(parts, now);
  const auto decoded = decodePromptReport(bytes, now + 1h);
  REQUIRE(decoded);
  REQUIRE(decoded->size() == 2);
  CHECK(decoded->front().Part == ~0ULL);
  CHECK(decoded->front().Crashes.at(~0ULL) == now + 1h - 100ms);
  CHECK(decoded->front().BegunAt == now + 1h - 7s);
  CHECK(decoded->front().ProbedAt == now + 1h);
  CHECK_FALSE(decoded->back().BegunAt);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    (void)decodePromptReport(bytes.substr(0, n), now);
  CHECK_FALSE(decodePromptReport(bytes.substr(0, bytes.size() - 1), now));
  CHECK_FALSE(decodePromptReport("", now));
}

// Old and new versions run side by side during an upgrade.
TEST_CASE("a version without reports of suspected prompts discards them") {
  const base::TimePoint now{std::chrono::hours(1)};
  const std::string bytes = encodePromptReport({blockedPart("p", now)}, now);
  // How the former version handles a datagram: as a report of requests in
  // flight, or as a usage message.
  CHECK_FALSE(isReport(bytes));
  CHECK_FALSE(decodeReport(bytes));
  CHECK_FALSE(usage::decodeUsageMessage(bytes));
  // And this one takes the former version's for what they are.
  CHECK_FALSE(isPromptReport(encodeReport({"entry", {{1, 2}}})));
  for (const auto &it : usage::encodeUsageMessage({}))
    CHECK_FALSE(isPromptReport(it));
}

TEST_CASE("an entry works without reports from entries of a former version") {
  EntryFixture fixture;
  fixture.addTarget("t1", respond);
  fixture.entry().setPeerRequestCounts("old", {});
  const auto received = fixture.send(promptRequest("r1", "sound"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 200"));
}
