// Callers and targets that pause for seconds before they read, or never do.
#include "entryfixture.h"
#include "support/limitedkernel.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bergamot;
using namespace bergamot::adaptertcp;
using namespace bergamot::entrypath;
using testsupport::KernelLimits;
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

/// Peers that pause while they read, of entries whose kernel tells only a part
/// of what it knows of their connections.
class LimitedPeers {
public:
  explicit LimitedPeers(KernelLimits limits) : Limits(limits) {
    select();
    Once = Running.send("once", "r1");
    Stream = Running.send("stream", "r2");
    StoppedOnce = Stopping.send("once", "r1", "X-Left: 9000\r\n");
    StoppedStream = Stopping.send("stream", "r2", "X-Left: 9000\r\n");
    WithLateTarget.entry().setRouteTable(longRoutes());
    WithLateTarget
        .addTarget(
            "t1",
            [this](const auto &head, const auto &body, const auto &connection) {
              TargetGot = body;
              connection->send(signedResponse(head, "done"));
            })
        .readAfter(Pause);
    FromLateTarget = WithLateTarget.send(
        "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\n"
        "Content-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }

  /// Runs the entries for a moment, with their limits.
  void step() {
    select();
    for (EntryFixture *it :
         {&Running.Fixture, &Stopping.Fixture, &WithLateTarget}) {
      it->loop().restart();
      it->loop().poll();
    }
  }
  void stop() {
    select();
    Entry &entry = Stopping.Fixture.entry();
    entry.shutDown({entry.now(), 20s});
  }
  /// Lets the callers read.
  void read() {
    select();
    CHECK_FALSE(Stopping.Fixture.entry().isDrained());
    for (const auto &it : {Once, Stream})
      Running.Fixture.setReading(it, true);
    for (const auto &it : {StoppedOnce, StoppedStream})
      Stopping.Fixture.setReading(it, true);
  }
  bool areDone() {
    select();
    return Stopping.Fixture.entry().isDrained() && hasEnded(*Once) &&
           hasEnded(*Stream) && hasEnded(*StoppedOnce) &&
           hasEnded(*StoppedStream) && hasEnded(*FromLateTarget);
  }
  void check() {
    select();
    const std::string answer(BodyBytes, 'x');
    CHECK(Stopping.Fixture.entry().isDrained());
    CHECK(completeBody(*Once) == answer);
    CHECK(completeBody(*Stream) == events());
    CHECK(completeBody(*StoppedOnce) == answer);
    CHECK(completeBody(*StoppedStream) == events());
    CHECK(completeBody(*FromLateTarget) == "done");
    CHECK(TargetGot == Body);
  }
  KernelLimits limits() const { return Limits; }

private:
  void select() { testsupport::setKernelLimits(Limits); }

  const std::string Body = std::string(4000, 'b');
  KernelLimits Limits;
  PausedCallers Running;
  PausedCallers Stopping;
  EntryFixture WithLateTarget;
  std::string TargetGot;
  std::shared_ptr<Received> Once;
  std::shared_ptr<Received> Stream;
  std::shared_ptr<Received> StoppedOnce;
  std::shared_ptr<Received> StoppedStream;
  std::shared_ptr<Received> FromLateTarget;
};

/// Checks which of two callers get their whole answer if they read it after a
/// pause: one that is in time, and one that is late.
void checkReaders(std::chrono::milliseconds pause, const std::string &inTime,
                  const std::string &late) {
  const std::string body(BodyBytes, 'x');
  EntryFixture fixture;
  fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &connection) {
        connection->send(signedResponse(head, body));
      });
  // The route's timeout is 1.5 s.
  const auto first =
      fixture.sendOverSlowLink(requestText("once", "r1", inTime));
  const auto second = fixture.sendOverSlowLink(requestText("once", "r2", late));
  fixture.setReading(first, false);
  fixture.setReading(second, false);
  fixture.run(pause);
  fixture.setReading(first, true);
  fixture.setReading(second, true);
  REQUIRE(fixture.runUntil([&] { return hasEnded(*first); }));
  CHECK(completeBody(*first) == body);
  REQUIRE(fixture.runUntil([&] { return hasEnded(*second); }));
  CHECK_FALSE(completeBody(*second));
}

/// Lifts the limits at the end of a test.
struct LimitsGuard {
  ~LimitsGuard() { testsupport::setKernelLimits(KernelLimits::None); }
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

// Guards against answers and requests that are lost because the kernel doesn't
// tell that a peer which pauses can still be reached.
TEST_CASE("peers may pause whatever the kernel tells of their connections") {
  const LimitsGuard guard;
  std::vector<std::unique_ptr<LimitedPeers>> all;
  for (const KernelLimits it : testsupport::allKernelLimits())
    all.push_back(std::make_unique<LimitedPeers>(it));
  const auto start = std::chrono::steady_clock::now();
  const auto runUntil = [&](base::TimePoint end, const auto &condition) {
    while (!condition() && std::chrono::steady_clock::now() < end) {
      for (const auto &it : all)
        it->step();
      std::this_thread::sleep_for(1ms);
    }
  };
  const auto never = [] { return false; };
  runUntil(start + 300ms, never);
  for (const auto &it : all)
    it->stop();
  runUntil(start + Pause, never);
  for (const auto &it : all)
    it->read();
  // Where it isn't known whether callers have read, their time of 9 s has to
  // pass before an entry is drained.
  runUntil(start + 12s, [&] {
    return std::all_of(all.begin(), all.end(),
                       [](const auto &it) { return it->areDone(); });
  });
  for (const auto &it : all) {
    CAPTURE(static_cast<int>(it->limits()));
    it->check();
  }
}

// Guards against the loss of answers to callers whose kernel drops data while
// they pause. The entry's kernel retransmits after 3 s and then after 6 s.
TEST_CASE("callers that acknowledge nothing get their answers once they do") {
  PausedCallers running;
  PausedCallers stopping;
  const auto once = running.send("once", "r1");
  const auto stream = running.send("stream", "r2");
  const auto stopped = stopping.send("once", "r1");
  for (const auto &it : {once, stream})
    running.Fixture.setDropping(it, true);
  stopping.Fixture.setDropping(stopped, true);
  running.Fixture.run(150ms);
  stopping.Fixture.run(150ms);
  Entry &entry = stopping.Fixture.entry();
  entry.shutDown({entry.now(), 20s});
  const auto end = std::chrono::steady_clock::now() + 4s;
  while (std::chrono::steady_clock::now() < end) {
    running.Fixture.run(5ms);
    stopping.Fixture.run(5ms);
  }
  CHECK_FALSE(entry.isDrained());
  for (const auto &it : {once, stream})
    running.Fixture.setDropping(it, false);
  stopping.Fixture.setDropping(stopped, false);
  CHECK(running.readsAll(once, std::string(BodyBytes, 'x')));
  CHECK(running.readsAll(stream, events()));
  CHECK(stopping.readsAll(stopped, std::string(BodyBytes, 'x')));
}

// Guards against connections that are reset, and against stops that never end,
// because the kernel doesn't tell that callers have read their answers.
TEST_CASE("callers that have read are kept though the kernel doesn't tell") {
  const LimitsGuard guard;
  testsupport::setKernelLimits(KernelLimits::NoSendQueue);
  EntryFixture fixture;
  fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &connection) {
        connection->send(signedResponse(head, "done"));
      });
  const std::string deadline = "X-Left: 1000\r\n";
  const auto caller = fixture.send(requestText("once", "r1", deadline));
  REQUIRE(fixture.runUntil([&] { return hasEnded(*caller); }));
  CHECK_FALSE(fixture.entry().isDrained());
  fixture.run(2500ms);
  CHECK(fixture.entry().isDrained());
  CHECK_FALSE(caller->Closed);
  caller->Bytes.clear();
  fixture.sendMore(caller, requestText("once", "r2", deadline));
  REQUIRE(fixture.runUntil([&] { return hasEnded(*caller); }));
  CHECK(completeBody(*caller) == "done");
}

// Guards against requests that wait until their deadlines for a target behind a
// partition.
TEST_CASE("a target that can't be reached is given up before the deadline") {
  const LimitsGuard guard;
  const auto limits = GENERATE(KernelLimits::None, KernelLimits::Nothing);
  CAPTURE(static_cast<int>(limits));
  testsupport::setKernelLimits(limits);
  EntryFixture fixture;
  fixture.entry().setRouteTable(longRoutes());
  auto &target = fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &connection) {
        connection->send(signedResponse(head, "done"));
      });
  const auto first = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return hasEnded(*first); }));
  target.cutOff();
  const auto sentAt = std::chrono::steady_clock::now();
  const auto second = fixture.send(requestText("once", "r2"));
  fixture.run(UnansweredTimeout - 100ms);
  CHECK_FALSE(hasEnded(*second));
  REQUIRE(fixture.runUntil([&] { return hasEnded(*second); }));
  CHECK(std::chrono::steady_clock::now() - sentAt < UnansweredTimeout + 3s);
  CHECK(second->has("HTTP/1.1 502"));
  // The request was sent on the first one's connection.
  CHECK(target.connectionCount() == 1);
}

// Guards against the loss of answers to callers that still wait when they read
// on, later than UnansweredTimeout after the response and the route's timeout.
TEST_CASE("a caller may read for as long as it waits") {
  // One that doesn't say how long it waits is given up.
  checkReaders(8000ms, "X-Left: 10000\r\n", "");
}

// Guards against callers that are given up as soon as the route's timeout has
// passed, while they still wait.
TEST_CASE("a caller may read for longer than the route's timeout") {
  checkReaders(4000ms, "X-Left: 8000\r\n", "X-Left: 1500\r\n");
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
