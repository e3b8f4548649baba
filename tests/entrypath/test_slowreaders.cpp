// Callers and targets that pause for seconds before they read, or never do.
#include "entryfixture.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::adaptertcp;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;

namespace {

/// Longer than UnansweredTimeout, and before the deadlines of the requests.
constexpr auto Pause = 6500ms;
constexpr std::size_t BodyBytes = 100000;
constexpr std::size_t EventCount = 300;

std::string events() {
  std::string text;
  for (std::size_t i = 1; i <= EventCount; ++i)
    text += "id: " + std::to_string(i) + "\ndata: " + std::string(300, 'x') +
            "\n\n";
  return text;
}

/// An entry whose callers don't read before they are told to.
class PausedCallers {
public:
  PausedCallers() {
    Fixture.entry().setRouteTable(longRoutes());
    Fixture.addTarget(
        "t1", [](const auto &head, const auto &, const auto &connection) {
          const bool streams = head.Target.starts_with("/stream");
          connection->send(signedResponse(
              head, streams ? events() : std::string(BodyBytes, 'x')));
        });
  }

  std::shared_ptr<Received> send(const std::string &route,
                                 const std::string &id,
                                 const std::string &fields = "") {
    auto received = Fixture.sendOverSlowLink(requestText(route, id, fields));
    Fixture.setReading(received, false);
    return received;
  }
  bool readsAll(const std::shared_ptr<Received> &it, const std::string &body) {
    Fixture.setReading(it, true);
    return Fixture.runUntil([&] { return hasEnded(*it); }) &&
           completeBody(*it) == body;
  }

  EntryFixture Fixture;
};

} // namespace

// Guards against answers that are lost as callers pause for longer than the
// time for which data may remain unacknowledged, in and outside of a stop.
TEST_CASE("callers that pause while they read get their whole answers") {
  PausedCallers running;
  PausedCallers stopping;
  const auto once = running.send("once", "r1");
  const auto stream = running.send("stream", "r2");
  const auto unread = running.send("once", "r3", "X-Left: 5500\r\n");
  const auto stoppedOnce = stopping.send("once", "r1");
  const auto stoppedStream = stopping.send("stream", "r2");
  running.Fixture.run(150ms);
  stopping.Fixture.run(150ms);
  Entry &entry = stopping.Fixture.entry();
  entry.shutDown({entry.now(), 20s});

  const auto end = std::chrono::steady_clock::now() + Pause;
  while (std::chrono::steady_clock::now() < end) {
    running.Fixture.run(5ms);
    stopping.Fixture.run(5ms);
  }
  CHECK_FALSE(entry.isDrained());
  CHECK(running.readsAll(once, std::string(BodyBytes, 'x')));
  CHECK(running.readsAll(stream, events()));
  CHECK(stopping.readsAll(stoppedOnce, std::string(BodyBytes, 'x')));
  CHECK(stopping.readsAll(stoppedStream, events()));
  CHECK(stopping.Fixture.runUntil([&] { return entry.isDrained(); }));
  // One that doesn't read by its deadline is given up then.
  CHECK_FALSE(running.readsAll(unread, std::string(BodyBytes, 'x')));
}

// Guards against callers that are given up as soon as the route's timeout has
// passed, while they still wait.
TEST_CASE("a caller may read for longer than the route's timeout") {
  const std::string body(BodyBytes, 'x');
  EntryFixture fixture;
  fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &connection) {
        connection->send(signedResponse(head, body));
      });
  // The route's timeout is 1.5 s.
  const auto waiting =
      fixture.sendOverSlowLink(requestText("once", "r1", "X-Left: 8000\r\n"));
  const auto gone =
      fixture.sendOverSlowLink(requestText("once", "r2", "X-Left: 1500\r\n"));
  fixture.setReading(waiting, false);
  fixture.setReading(gone, false);
  fixture.run(4000ms);
  fixture.setReading(waiting, true);
  fixture.setReading(gone, true);
  REQUIRE(fixture.runUntil([&] { return hasEnded(*waiting); }));
  CHECK(completeBody(*waiting) == body);
  REQUIRE(fixture.runUntil([&] { return hasEnded(*gone); }));
  CHECK_FALSE(completeBody(*gone));
}

// Guards against requests that never reach targets which pause before they
// read; their callers got 502 after 5.4 s.
TEST_CASE("a target that reads late gets the whole request") {
  const std::string body(4000, 'b');
  EntryFixture fixture;
  fixture.entry().setRouteTable(longRoutes());
  std::string gotBody;
  auto &target = fixture.addTarget(
      "t1", [&](const auto &head, const auto &got, const auto &connection) {
        gotBody = got;
        connection->send(signedResponse(head, "done"));
      });
  target.readAfter(Pause);
  const auto received =
      fixture.send("POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"
                   "X-Key: key\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
  fixture.run(Pause);
  REQUIRE(fixture.runUntil([&] { return hasEnded(*received); }));
  CHECK(completeBody(*received) == "done");
  CHECK(gotBody == body);
  CHECK(target.requestCount() == 1);
}
