// Streams whose target sends nothing for a while, for example because it
// preempts them.
#include "entryfixture.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <random>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using adaptertcp::RequestHead;
using Connection = TestTarget::Connection;
using std::chrono::milliseconds;

namespace {

constexpr unsigned EventCount = 4;

/// How a target answers a request for a stream.
enum class Behaviour {
  /// Sends all events, with a pause before one of them.
  Pause,
  Refuse,
  /// Resets the connection before the first event.
  Reset,
  FailWith500,
  FailWith400,
  /// Sends nothing.
  Mute,
  /// Sends a part of an event and nothing more.
  PartialEvent,
};

struct TargetPlan {
  Behaviour How = Behaviour::Pause;
  /// The event before which it pauses, and for how long.
  unsigned PausedEvent = 1;
  milliseconds Pause{0};
};

std::string chunk(const std::string &bytes) {
  std::string text;
  adaptertcp::appendChunk(text, bytes);
  return text;
}

std::string eventText(unsigned id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

std::string streamHead(const RequestHead &head) {
  return "HTTP/1.1 200 OK\r\nX-Id: " +
         std::string(head.Headers.value("X-Id").value_or("")) +
         "\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
}

void sendLater(boost::asio::io_context &loop, milliseconds delay,
               const Connection &connection, const std::string &bytes) {
  auto timer = std::make_shared<boost::asio::steady_timer>(loop, delay);
  timer->async_wait([timer, connection, bytes](const auto &ec) {
    if (!ec)
      connection->send(bytes);
  });
}

/// Sends the events after the one that the request names.
void sendEvents(boost::asio::io_context &loop, const TargetPlan &plan,
                const RequestHead &head, const Connection &connection) {
  const auto after = head.Headers.value("X-After");
  const auto first = static_cast<unsigned>(
      after ? adaptertcp::parseNumber(*after).value_or(0) + 1 : 1);
  std::string text = streamHead(head);
  for (unsigned i = first; i < plan.PausedEvent; ++i)
    text += chunk(eventText(i));
  if (plan.PausedEvent > first)
    connection->send(text);
  std::string rest = plan.PausedEvent > first ? "" : text;
  for (unsigned i = std::max(first, plan.PausedEvent); i <= EventCount; ++i)
    rest += chunk(eventText(i));
  sendLater(loop, plan.Pause, connection, rest + "0\r\n\r\n");
}

TestTarget::Handler handler(EntryFixture &fixture, const TargetPlan &plan) {
  return [&fixture, plan](const auto &head, const auto &, const auto &it) {
    switch (plan.How) {
    case Behaviour::Pause:
      sendEvents(fixture.loop(), plan, head, it);
      return;
    case Behaviour::Refuse:
      it->send(signedResponse(head, "full", 503, "X-Not-Executed: 1\r\n"));
      return;
    case Behaviour::Reset:
      it->abort();
      return;
    case Behaviour::FailWith500:
      it->send(signedResponse(head, "failed", 500));
      return;
    case Behaviour::FailWith400:
      it->send(signedResponse(head, "bad", 400));
      return;
    case Behaviour::Mute:
      return;
    case Behaviour::PartialEvent:
      it->send(streamHead(head) + chunk("id: 2\nda"));
      return;
    }
  };
}

/// Runs until the caller has a whole response or none is to come. The groups
/// make progress all the while.
bool runUntilEnd(EntryFixture &fixture, const Received &received) {
  return fixture.runUntil([&] {
    fixture.entry().groups().recordProgress("g", fixture.entry().now());
    return received.has("0\r\n\r\n") || received.Closed ||
           received.has("HTTP/1.1 50");
  });
}

void checkEventsInOrder(const Received &received) {
  std::size_t last = 0;
  for (unsigned i = 1; i <= EventCount; ++i) {
    const std::string text = "id: " + std::to_string(i) + "\n";
    const std::size_t pos = received.Bytes.find(text);
    REQUIRE(pos != std::string::npos);
    CHECK(received.Bytes.find(text, pos + 1) == std::string::npos);
    CHECK(pos > last);
    last = pos;
  }
  CHECK(received.has("0\r\n\r\n"));
  CHECK_FALSE(received.has("da\r\n"));
}

/// Plays a stream whose first target pauses; the other ones are added once it
/// has the request.
void play(const TargetPlan &first, const std::vector<TargetPlan> &others) {
  EntryFixture fixture;
  auto &target = fixture.addTarget("t0", handler(fixture, first), 4, "g");
  const auto received = fixture.send(requestText("stream", "r1"));
  REQUIRE(fixture.runUntil([&] { return target.requestCount() == 1; }));
  for (std::size_t i = 0; i < others.size(); ++i)
    fixture.addTarget("t" + std::to_string(i + 1), handler(fixture, others[i]),
                      4, "g");
  REQUIRE(runUntilEnd(fixture, *received));
  CHECK(target.requestCount() == 1);
  checkEventsInOrder(*received);
}

} // namespace

// Guards against a stream that is cut because its target was silent for a
// while, although no other target has taken it over.
TEST_CASE("a silent stream goes on at its target if no other one takes it") {
  const unsigned pausedEvent = GENERATE(1U, 3U);
  const Behaviour other = GENERATE(
      Behaviour::Refuse, Behaviour::Reset, Behaviour::FailWith500,
      Behaviour::FailWith400, Behaviour::Mute, Behaviour::PartialEvent);
  CAPTURE(pausedEvent, static_cast<int>(other));
  play({Behaviour::Pause, pausedEvent, 500ms}, {{other}});
}

TEST_CASE("a silent stream goes on at its target if all others are full") {
  EntryFixture fixture;
  auto &target = fixture.addTarget(
      "t0", handler(fixture, {Behaviour::Pause, 3, 500ms}), 4, "g");
  const auto received = fixture.send(requestText("stream", "r1"));
  REQUIRE(fixture.runUntil([&] { return target.requestCount() == 1; }));
  auto &full =
      fixture.addTarget("t1", handler(fixture, {Behaviour::Mute}), 1, "g");
  const auto other = fixture.send(requestText("stream-once", "r2"));
  REQUIRE(runUntilEnd(fixture, *received));
  checkEventsInOrder(*received);
  CHECK(full.requestCount() <= 1);
  CHECK_FALSE(other->Closed);
}

// Guards against pieces of two runs in one stream, and against a run that goes
// on at the target that was too late.
TEST_CASE("the first target that goes on with a silent stream keeps it") {
  const milliseconds firstPause = GENERATE(300ms, 900ms);
  const milliseconds otherPause = GENERATE(20ms, 500ms);
  CAPTURE(firstPause.count(), otherPause.count());
  EntryFixture fixture;
  auto &first = fixture.addTarget(
      "t0", handler(fixture, {Behaviour::Pause, 3, firstPause}), 4, "g");
  const auto received = fixture.send(requestText("stream", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->has("id: 2\n"); }));
  auto &other = fixture.addTarget(
      "t1", handler(fixture, {Behaviour::Pause, 3, otherPause}), 4, "g");
  REQUIRE(runUntilEnd(fixture, *received));
  checkEventsInOrder(*received);
  // It became silent after 150 ms.
  const bool firstKeepsIt = firstPause < 150ms + otherPause;
  TestTarget &late = firstKeepsIt ? other : first;
  CHECK(fixture.runUntil([&] { return late.closedCount() == 1; }));
}

TEST_CASE("a caller that leaves cancels a silent stream at all its targets") {
  EntryFixture fixture;
  auto &first =
      fixture.addTarget("t0", handler(fixture, {Behaviour::Mute}), 4, "g");
  const auto received = fixture.send(requestText("stream", "r1"));
  REQUIRE(fixture.runUntil([&] { return first.requestCount() == 1; }));
  auto &other =
      fixture.addTarget("t1", handler(fixture, {Behaviour::Mute}), 4, "g");
  REQUIRE(fixture.runUntil([&] {
    fixture.entry().groups().recordProgress("g", fixture.entry().now());
    return other.requestCount() == 1;
  }));
  CHECK(first.closedCount() == 0);
  fixture.disconnect(received);
  CHECK(fixture.runUntil(
      [&] { return first.closedCount() == 1 && other.closedCount() == 1; }));
}

// Guards against a sound target that gets no requests for a while, and a stream
// that moves, because the caller reads slowly.
TEST_CASE("a target isn't silent while the caller doesn't read") {
  constexpr unsigned LargeEvents = 160;
  const std::string padding(100000, 'x');
  EntryFixture fixture;
  auto &target = fixture.addTarget(
      "t0",
      [&](const auto &head, const auto &, const auto &it) {
        std::string text = streamHead(head);
        for (unsigned i = 1; i <= LargeEvents; ++i)
          text +=
              chunk("id: " + std::to_string(i) + "\ndata: " + padding + "\n\n");
        it->send(text + "0\r\n\r\n");
      },
      4, "g");
  const auto received = fixture.send(requestText("stream", "r1"));
  fixture.setReading(received, false);
  REQUIRE(fixture.runUntil([&] { return target.requestCount() == 1; }));
  auto &other =
      fixture.addTarget("t1", handler(fixture, {Behaviour::Mute}), 4, "g");
  const auto until = std::chrono::steady_clock::now() + 600ms;
  REQUIRE(fixture.runUntil([&] {
    fixture.entry().groups().recordProgress("g", fixture.entry().now());
    return std::chrono::steady_clock::now() > until;
  }));
  CHECK(other.requestCount() == 0);
  CHECK(target.closedCount() == 0);
  fixture.setReading(received, true);
  // Searching all bytes in each iteration of the loop would take too long.
  CHECK(
      fixture.runUntil([&] { return received->Bytes.ends_with("0\r\n\r\n"); }));
  CHECK(received->has("id: " + std::to_string(LargeEvents) + "\n"));
}

TEST_CASE("a sound stream survives any silence and any other targets") {
  constexpr std::array Others = {Behaviour::Pause, Behaviour::Refuse,
                                 Behaviour::Reset, Behaviour::FailWith500,
                                 Behaviour::Mute,  Behaviour::PartialEvent};
  for (unsigned seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto draw = [&](std::size_t n) {
      return static_cast<unsigned>(random() % n);
    };
    const auto plan = [&](Behaviour how) {
      return TargetPlan{how, draw(EventCount) + 1,
                        milliseconds(100 + draw(500))};
    };
    std::vector<TargetPlan> others;
    for (unsigned i = draw(3) + 1; i > 0; --i)
      others.push_back(plan(Others.at(draw(Others.size()))));
    play(plan(Behaviour::Pause), others);
  }
}
