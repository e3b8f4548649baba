// Faulty targets that send without end: an event, a head, an error response, a
// response to another request, or single bytes.
#include "adaptertcp/asynchttpclient.h"
#include "entryfixture.h"
#include "libbergamotgateway/eventsplitter.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;

namespace {

const std::string Piece(16384, 'x');

std::string chunk(const std::string &bytes) {
  std::array<char, 16> size{};
  (void)std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

std::string headOf(int status, const std::string &id, bool isSigned = true) {
  return "HTTP/1.1 " + std::to_string(status) + " S\r\nX-Id: " + id +
         (isSigned ? "\r\nX-Signed: yes" : "") +
         "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string event(int id) {
  return chunk("id: " + std::to_string(id) + "\ndata: x\n\n");
}

/// Sends the same bytes periodically until the connection closes, and counts
/// the bytes sent.
class Repeater : public std::enable_shared_from_this<Repeater> {
public:
  Repeater(boost::asio::io_context &loop, TestTarget::Connection connection,
           std::string bytes, std::chrono::milliseconds period)
      : Timer(loop), Target(std::move(connection)), Bytes(std::move(bytes)),
        Period(period) {}

  void start() {
    if (!Target->isOpen())
      return;
    // Nothing more is sent while the peer doesn't read.
    if (Target->unsentBytes() < 4 * Bytes.size()) {
      Target->send(Bytes);
      Sent += Bytes.size();
    }
    Timer.expires_after(Period);
    Timer.async_wait([self = shared_from_this()](const auto &ec) {
      if (!ec)
        self->start();
    });
  }
  std::size_t sent() const { return Sent; }

private:
  boost::asio::steady_timer Timer;
  TestTarget::Connection Target;
  std::string Bytes;
  std::chrono::milliseconds Period;
  std::size_t Sent = 0;
};

/// An entry whose first target sends a head and then bytes without end.
struct EndlessTargetFixture {
  explicit EndlessTargetFixture(
      const std::function<std::string(const adaptertcp::RequestHead &)> &head,
      std::string bytes, std::chrono::milliseconds period = 1ms)
      : Target(Fixture.addTarget(
            "t1",
            [this, head, bytes, period](const auto &request, const auto &,
                                        const auto &connection) {
              connection->send(head(request));
              Endless = std::make_shared<Repeater>(Fixture.loop(), connection,
                                                   bytes, period);
              Endless->start();
            },
            1, "g")) {}

  EntryFixture Fixture;
  /// Its timer uses the fixture's loop, so it has to be destroyed first.
  std::shared_ptr<Repeater> Endless;
  TestTarget &Target;
};

/// Far above what an entry may buffer of one response, and far below what a
/// target sends until the route's timeout.
constexpr std::size_t MaxSentBytes = 3 * 1024 * 1024;

std::string idOf(const adaptertcp::RequestHead &head) {
  return std::string(head.Headers.value("X-Id").value_or(""));
}

} // namespace

TEST_CASE("an attempt fails at an endless event") {
  // Guards against unbounded memory use while a target sends.
  EndlessTargetFixture it(
      [](const auto &head) { return headOf(200, idOf(head)); }, chunk(Piece));
  const auto received = it.Fixture.send(requestText("stream-once", "r1"));
  REQUIRE(it.Fixture.runUntil([&] { return it.Target.closedCount() == 1; }));
  CHECK(it.Endless->sent() < MaxSentBytes);
  REQUIRE(it.Fixture.runUntil([&] { return received->has("HTTP/1.1 502"); }));
}

TEST_CASE("an endless event after others visibly truncates the response") {
  EndlessTargetFixture it(
      [](const auto &head) { return headOf(200, idOf(head)) + event(1); },
      chunk(Piece));
  const auto received = it.Fixture.send(requestText("stream-once", "r1"));
  REQUIRE(it.Fixture.runUntil([&] { return received->Closed; }));
  CHECK(it.Endless->sent() < MaxSentBytes);
  CHECK(received->has("id: 1"));
  CHECK_FALSE(received->has("0\r\n\r\n"));
}

TEST_CASE("an endless error response isn't buffered") {
  EndlessTargetFixture it(
      [](const auto &head) { return headOf(500, idOf(head)); }, chunk(Piece));
  const auto received = it.Fixture.send(requestText("once", "r1"));
  REQUIRE(it.Fixture.runUntil([&] { return received->has("HTTP/1.1 502"); }));
  CHECK(it.Endless->sent() < MaxSentBytes);
  REQUIRE(it.Fixture.runUntil([&] { return it.Target.closedCount() == 1; }));
}

TEST_CASE("an endless response to another request isn't buffered") {
  EndlessTargetFixture it([](const auto &) { return headOf(200, "another"); },
                          chunk(Piece));
  const auto received = it.Fixture.send(requestText("once", "r1"));
  REQUIRE(it.Fixture.runUntil([&] { return received->has("HTTP/1.1 502"); }));
  CHECK(it.Endless->sent() < MaxSentBytes);
}

TEST_CASE("endless interim responses don't hold a request until its deadline") {
  // Heads of different lengths, so that reads end within them.
  std::string interim;
  while (interim.size() < Piece.size())
    interim += "HTTP/1.1 " + std::to_string(100 + interim.size() % 4) +
               " S\r\nX: " + std::string(interim.size() % 37, 'x') + "\r\n\r\n";
  EndlessTargetFixture it([&](const auto &) { return interim; }, interim);
  const auto received = it.Fixture.send(requestText("once", "r1"));
  REQUIRE(it.Fixture.runUntil([&] { return received->has("\r\n\r\n"); }));
  CHECK(received->has("HTTP/1.1 502"));
  CHECK(it.Endless->sent() < MaxSentBytes);
}

TEST_CASE("endless short responses to other requests don't hold a request") {
  std::string other;
  while (other.size() < Piece.size())
    other += "HTTP/1.1 200 S\r\nX-Id: another\r\nContent-Length: 1\r\n"
             "X: " +
             std::string(other.size() % 37, 'x') + "\r\n\r\ny";
  EndlessTargetFixture it([&](const auto &) { return other; }, other);
  const auto received = it.Fixture.send(requestText("once", "r1"));
  REQUIRE(it.Fixture.runUntil([&] { return received->has("\r\n\r\n"); }));
  CHECK(received->has("HTTP/1.1 502"));
  CHECK(it.Endless->sent() < MaxSentBytes);
}

TEST_CASE(
    "bytes after an invalid response aren't taken for the next target's") {
  // Guards against a retry that starts while bytes of the previous attempt are
  // still unread: a second copy of a response would be taken as its response.
  EntryFixture fixture;
  fixture.addTarget(
      "sound",
      [](const auto &head, const auto &, const auto &connection) {
        connection->send(signedResponse(head, "sound"));
      },
      8);
  // Leaves a pooled connection, so that the next attempt starts at once.
  const auto first = fixture.send(requestText("safe", "r0"));
  REQUIRE(fixture.runUntil([&] { return first->has("sound"); }));
  int copies = 0;
  const auto duplicating = [&](const auto &head, const auto &,
                               const auto &connection) {
    const std::string id = idOf(head);
    connection->send(headOf(200, id, false) + chunk("a") + "0\r\n\r\n" +
                     headOf(200, id) + chunk("copy") + "0\r\n\r\n");
    ++copies;
  };
  for (int i = 0; i < 6; ++i)
    fixture.addTarget("doubled" + std::to_string(i), duplicating, 8);
  for (int i = 1; i < 24; ++i) {
    const auto received =
        fixture.send(requestText("safe", "r" + std::to_string(i)));
    REQUIRE(fixture.runUntil([&] { return received->has("\r\n\r\n"); }));
    fixture.run(5ms);
    CHECK_FALSE(received->has("copy"));
  }
  CHECK(copies >= 3);
}

TEST_CASE("an endless head isn't buffered") {
  for (const std::string &bytes : {"x: " + Piece + "\r\n", Piece}) {
    EndlessTargetFixture it([](const auto &) { return "HTTP/1.1 200 OK\r\n"; },
                            bytes);
    const auto received = it.Fixture.send(requestText("once", "r1"));
    REQUIRE(it.Fixture.runUntil([&] { return received->has("HTTP/1.1 502"); }));
    CHECK(it.Endless->sent() < MaxSentBytes);
  }
}

TEST_CASE("a stream of single bytes without an event is resumed elsewhere") {
  // Guards against a stalled stream that is kept alive by single bytes.
  EndlessTargetFixture it(
      [](const auto &head) { return headOf(200, idOf(head)) + event(1); },
      chunk(":"), 40ms);
  const auto stalled = it.Fixture.send(requestText("stream", "r1"));
  REQUIRE(it.Fixture.runUntil([&] { return stalled->has("id: 1"); }));
  it.Fixture.addTarget(
      "t2",
      [](const auto &head, const auto &, const auto &connection) {
        const bool resumes = head.Headers.value("X-After").has_value();
        connection->send(headOf(200, idOf(head)) + (resumes ? "" : event(1)) +
                         event(2) + "0\r\n\r\n");
      },
      1, "g");
  // Other streams show that the group makes progress.
  for (int i = 2; i < 90 && !stalled->has("0\r\n\r\n"); ++i) {
    it.Fixture.send(requestText("stream", "r" + std::to_string(i)));
    it.Fixture.run(20ms);
  }
  CHECK(stalled->has("id: 2"));
  CHECK(stalled->has("0\r\n\r\n"));
}

TEST_CASE("a slow but healthy stream isn't aborted") {
  // Events arrive at two thirds of the time after which a stream counts as
  // silent.
  EntryFixture fixture;
  std::shared_ptr<Repeater> slow;
  auto &target = fixture.addTarget(
      "t1",
      [&](const auto &head, const auto &, const auto &connection) {
        connection->send(headOf(200, idOf(head)));
        slow = std::make_shared<Repeater>(fixture.loop(), connection, event(1),
                                          100ms);
        slow->start();
      },
      1, "g");
  fixture.addTarget(
      "t2",
      [](const auto &head, const auto &, const auto &connection) {
        connection->send(headOf(200, idOf(head)) + event(1) + "0\r\n\r\n");
      },
      1, "g");
  for (int i = 0; i < 40; ++i) {
    fixture.send(requestText("stream", "r" + std::to_string(i)));
    fixture.run(20ms);
  }
  REQUIRE(slow);
  CHECK(slow->sent() >= 4 * event(1).size());
  CHECK(target.closedCount() == 0);
}

TEST_CASE("an AsyncHttpClient call ends although its response is endless") {
  boost::asio::io_context loop;
  std::shared_ptr<Repeater> endless;
  TestTarget target(loop, [&](const auto &, const auto &,
                              const auto &connection) {
    connection->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    endless = std::make_shared<Repeater>(loop, connection, chunk(Piece), 1ms);
    endless->start();
  });
  const std::string address = target.address();
  const auto caller = std::make_shared<adaptertcp::AsyncHttpClient>(
      loop, *parseEndpoint(address));
  adaptertcp::RequestHead head;
  head.Method = "GET";
  head.Target = "/";
  head.Headers.add("Host", "h");
  std::optional<adaptertcp::CallResult> result;
  const auto start = std::chrono::steady_clock::now();
  caller->call(head, "", start + 10s,
               [&](const adaptertcp::CallResult &it) { result = it; });
  while (!result && std::chrono::steady_clock::now() < start + 9s)
    loop.run_one_for(5ms);
  REQUIRE(result);
  CHECK(result->Result == adaptertcp::CallResult::Outcome::Unknown);
  CHECK(result->Body.empty());
  CHECK(endless->sent() < 10 * MaxSentBytes);
}
