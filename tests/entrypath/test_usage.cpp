// The requests that an entry counts for the usage reports, compared with what
// its targets have begun to run.
#include "entryfixture.h"
#include "entrypath/usageservice.h"

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;

namespace {

const char *const StreamHead = "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Signed: 1\r\n"
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";
const char *const Event1 = "d\r\nid: 1\ndata:\n\n\r\n";
const char *const Event2 = "d\r\nid: 2\ndata:\n\n\r\n";
const char *const End = "0\r\n\r\n";

struct CountingFixture : EntryFixture {
  CountingFixture() {
    entry().setExecutionHandler(
        [this](const std::string &account, base::TimePoint begunAt) {
          ++Counts[account];
          LastBegunAt = begunAt;
        });
  }
  std::map<std::string, int> Counts;
  base::TimePoint LastBegunAt;
};

TestTarget::Handler respondWith(int status, const std::string &fields = "") {
  return [=](const auto &head, const auto &, const auto &connection) {
    connection->send(signedResponse(head, "x", status, fields));
  };
}

} // namespace

TEST_CASE("a plain request counts once, from when it was sent") {
  CountingFixture fixture;
  fixture.addTarget("t", respondWith(GENERATE(200, 404, 500)));
  const auto before = fixture.entry().now();
  const auto received = fixture.send(requestText("once", "r"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(fixture.Counts == std::map<std::string, int>{{"account", 1}});
  CHECK(fixture.LastBegunAt >= before);
}

TEST_CASE("a request that a target refuses doesn't count there") {
  CountingFixture fixture;
  auto &refusing =
      fixture.addTarget("t1", respondWith(503, "X-Not-Executed: 1\r\n"));
  auto &serving = fixture.addTarget("t2", respondWith(200));
  for (int i = 0; i < 6; ++i) {
    const auto received =
        fixture.send(requestText("safe", "r" + std::to_string(i)));
    REQUIRE(fixture.runUntil([&] { return received->has("200 "); }));
  }
  CHECK(refusing.requestCount() > 0);
  CHECK(fixture.Counts["account"] == static_cast<int>(serving.requestCount()));
}

TEST_CASE("a request whose response is lost counts, and so does its repeat") {
  CountingFixture fixture;
  auto &lossy = fixture.addTarget(
      "t1", [](const auto &, const auto &, const auto &connection) {
        connection->abort();
      });
  auto &serving = fixture.addTarget("t2", respondWith(200));
  for (int i = 0; i < 6; ++i) {
    const auto received =
        fixture.send(requestText("safe", "r" + std::to_string(i)));
    REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  }
  CHECK(lossy.requestCount() > 0);
  CHECK(fixture.Counts["account"] ==
        static_cast<int>(lossy.requestCount() + serving.requestCount()));
}

TEST_CASE("a request counts if its caller disconnects while it runs") {
  CountingFixture fixture;
  auto &target =
      fixture.addTarget("t", [](const auto &, const auto &, const auto &) {});
  const auto received = fixture.send(requestText("once", "r"));
  REQUIRE(fixture.runUntil([&] { return target.requestCount() == 1; }));
  fixture.disconnect(received);
  CHECK(fixture.runUntil([&] { return fixture.Counts["account"] == 1; }));
}

TEST_CASE("a stream counts with its first event at each target") {
  CountingFixture fixture;
  int streams = 0;
  const auto handler = [&](const auto &head, const auto &,
                           const auto &connection) {
    ++streams;
    connection->send(StreamHead);
    if (head.Headers.value("X-After")) {
      connection->send(std::string(Event2) + End);
      return;
    }
    connection->send(Event1);
  };
  fixture.addTarget("t1", handler, 4, "g1");
  fixture.addTarget("t2", handler, 4, "g2");
  const auto received = fixture.send(requestText("stream", "r"));
  REQUIRE(fixture.runUntil([&] { return fixture.Counts["account"] == 1; }));
  CHECK(streams == 1);
  // The first target falls silent and the stream is resumed at the other one.
  fixture.entry().recordProgress("s", "g1");
  fixture.entry().recordProgress("s", "g2");
  const bool resumed =
      fixture.runUntil([&] { return streams == 2 || received->Closed; });
  REQUIRE(resumed);
  fixture.run(100ms);
  CHECK(fixture.Counts["account"] == streams);
}

TEST_CASE("a stream without an event doesn't count") {
  CountingFixture fixture;
  auto &target = fixture.addTarget(
      "t", [](const auto &, const auto &, const auto &connection) {
        connection->send(StreamHead);
      });
  const auto received = fixture.send(requestText("stream-once", "r"));
  REQUIRE(fixture.runUntil([&] { return target.requestCount() == 1; }));
  fixture.run(50ms);
  fixture.disconnect(received);
  fixture.run(50ms);
  CHECK(fixture.Counts.empty());
}
