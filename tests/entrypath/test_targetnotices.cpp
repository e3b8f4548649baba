// Targets that state in their responses that they are draining or ask for a
// back-off.
#include "entryfixture.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;

namespace {

/// Responds with a status and further header fields.
TestTarget::Handler respondWith(int status, const std::string &fields) {
  return [=](const auto &head, const auto &, const auto &connection) {
    connection->send(signedResponse(head, "x", status, fields));
  };
}

gateway::TargetRecord restartedRecord(const Entry &entry,
                                      const std::string &id) {
  gateway::TargetRecord record =
      const_cast<Entry &>(entry).directory().target(id)->Record;
  ++record.StartedAtMs;
  return record;
}

/// Sends requests one by one, waiting for each response.
void sendSafe(EntryFixture &fixture, const std::string &prefix, int count) {
  for (int i = 0; i < count; ++i) {
    const auto received =
        fixture.send(requestText("safe", prefix + std::to_string(i)));
    REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  }
}

} // namespace

TEST_CASE("a draining target is sent no new requests") {
  // Guards against requests to draining targets while the store, which would
  // show their state, is unreachable.
  const auto [status, fields] = GENERATE(table<int, std::string>(
      {{200, "X-Leaving: 1\r\n"},
       {404, "X-Leaving: 1\r\n"},
       {500, "X-Leaving: 1\r\n"},
       {503, "X-Leaving: 1\r\nX-Not-Executed: 1\r\n"}}));
  EntryFixture fixture;
  auto &draining = fixture.addTarget("t1", respondWith(status, fields));
  auto &other = fixture.addTarget("t2", respondWith(200, ""));
  sendSafe(fixture, "a", 12);
  CHECK(draining.requestCount() == 1);
  CHECK(other.requestCount() >= 11);
  // The target's record reappears with the same start time, so the target isn't
  // used again.
  const auto record = fixture.entry().directory().target("t1")->Record;
  fixture.entry().directory().removeTarget("t1", {}, fixture.entry().now());
  fixture.entry().directory().setTarget(record, fixture.entry().now());
  sendSafe(fixture, "b", 6);
  CHECK(draining.requestCount() == 1);
  fixture.entry().directory().setTarget(restartedRecord(fixture.entry(), "t1"),
                                        fixture.entry().now());
  fixture.entry().directory().removeTarget("t2", {}, fixture.entry().now());
  sendSafe(fixture, "c", 1);
  CHECK(draining.requestCount() == 2);
}

TEST_CASE("a stream that has started at a draining target completes") {
  EntryFixture fixture;
  TestTarget::Connection stream;
  std::string id;
  fixture.addTarget("t1", [&](const auto &head, const auto &, const auto &it) {
    stream = it;
    id = std::string(head.Headers.value("X-Id").value_or(""));
    it->send("HTTP/1.1 200 OK\r\nX-Id: " + id +
             "\r\nX-Signed: 1\r\nX-Leaving: 1\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
  });
  const auto received = fixture.send(requestText("stream", "s1"));
  REQUIRE(fixture.runUntil([&] { return stream != nullptr; }));
  fixture.run(50ms);
  std::string chunks;
  adaptertcp::appendChunk(chunks, "id: 1\ndata: d\n\n");
  stream->send(chunks + std::string(adaptertcp::LastChunk));
  REQUIRE(fixture.runUntil([&] { return received->has("0\r\n\r\n"); }));
  CHECK(received->has("id: 1"));
}

TEST_CASE("a target that asks for a back-off is sent nothing until it ends") {
  EntryFixture fixture;
  auto &backingOff = fixture.addTarget(
      "t1", respondWith(503, "X-Not-Executed: 1\r\nX-Rest: 400\r\n"));
  auto &other = fixture.addTarget("t2", respondWith(200, ""));
  sendSafe(fixture, "a", 12);
  CHECK(backingOff.requestCount() == 1);
  CHECK(other.requestCount() >= 11);
  fixture.run(450ms);
  sendSafe(fixture, "b", 8);
  CHECK(backingOff.requestCount() == 2);
}

TEST_CASE("callers get Retry-After if all targets of a service back off") {
  // All targets of the service are full.
  EntryFixture fixture;
  auto &first = fixture.addTarget(
      "t1", respondWith(503, "X-Not-Executed: 1\r\nX-Rest: 1400\r\n"));
  auto &second = fixture.addTarget(
      "t2", respondWith(503, "X-Not-Executed: 1\r\nX-Rest: 1400\r\n"));
  sendSafe(fixture, "a", 1);
  CHECK(first.requestCount() + second.requestCount() == 2);
  const auto sentAt = fixture.entry().now();
  const auto received = fixture.send(requestText("once", "b1"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 503"));
  CHECK(received->has("Retry-After: "));
  // No target can serve it in time, so it isn't queued.
  CHECK(fixture.entry().now() - sentAt < 100ms);
  CHECK(first.requestCount() + second.requestCount() == 2);
}
