// Responses whose heads HTTP doesn't allow.
#include "entryfixture.h"
#include "support/faultyresponses.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using adaptertcp::RequestHead;
using testsupport::FaultyHead;
using Connection = TestTarget::Connection;

namespace {

/// The sound answer, which is also a complete event.
constexpr auto SoundBody = "id: 1\ndata: sound\n\n";
constexpr auto FaultyBody = "id: 1\ndata: faulty\n\n";

std::string lengthField(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

std::string targetFields(const RequestHead &head) {
  return "X-Id: " + std::string(head.Headers.value("X-Id").value_or("")) +
         "\r\nX-Signed: 1\r\n";
}

/// Returns a response with a faulty head, which is otherwise the target's own.
std::string faultyResponse(const FaultyHead &faulty, const RequestHead &head) {
  return faulty.text() + targetFields(head) +
         lengthField(std::string(FaultyBody).size()) + "\r\n" + FaultyBody;
}

void respondSoundly(const RequestHead &head, const std::string &,
                    const Connection &connection) {
  connection->send(signedResponse(head, SoundBody));
}

/// Sends a request to a target that sends bytes on which nobody can rely, then
/// adds a sound target, and returns what the caller gets.
std::shared_ptr<Received> exchange(EntryFixture &fixture,
                                   const std::string &route,
                                   const TestTarget::Handler &faulty) {
  auto &first = fixture.addTarget("t1", faulty);
  auto received = fixture.send(requestText(route, "r1"));
  REQUIRE(fixture.runUntil([&] { return first.requestCount() == 1; }));
  auto &second = fixture.addTarget("t2", respondSoundly);
  REQUIRE(fixture.runUntil([&] { return hasEnded(*received); }));
  fixture.run(5ms);
  const bool mayRunAgain = route == "safe" || route == "stream";
  CHECK(first.requestCount() + second.requestCount() == (mayRunAgain ? 2 : 1));
  return received;
}

/// Checks that a request that may run again got the answer of the other target,
/// and that the caller of any other learns that it may have run. A 504 would
/// show that the caller was held until the request's deadline.
void checkOutcome(const Received &received, const std::string &route) {
  CHECK_FALSE(received.has("faulty"));
  if (route == "safe" || route == "stream")
    CHECK(completeBody(received) == SoundBody);
  else
    CHECK(received.Bytes.starts_with("HTTP/1.1 502"));
}

} // namespace

// Callers got answers with a status of 000, and lines of a head joined with
// those before them.
TEST_CASE("an answer with a faulty head reaches no caller") {
  const std::string route = GENERATE("safe", "once", "stream", "stream-once");
  for (const FaultyHead &faulty : testsupport::faultyHeads()) {
    CAPTURE(faulty.Flaw, route);
    EntryFixture fixture;
    const auto received = exchange(
        fixture, route, [&](const auto &head, const auto &, const auto &it) {
          it->send(faultyResponse(faulty, head));
        });
    CAPTURE(received->Bytes);
    checkOutcome(*received, route);
  }
}

// Guards against a promise, within a head that can't be trusted, that lets
// unsafe work run a second time.
TEST_CASE("a faulty head proves nothing about the work") {
  const int status = GENERATE(0, 421, 503);
  const std::string route = GENERATE("once", "stream-once");
  CAPTURE(status, route);
  EntryFixture fixture;
  const auto received = exchange(
      fixture, route, [&](const auto &head, const auto &, const auto &it) {
        const std::string line =
            status == 0
                ? "HTTP/1.1 000 X\r\n"
                : "HTTP/1.1 " + std::to_string(status) + " X\r\nX Y: z\r\n";
        it->send(line + targetFields(head) + "X-Not-Executed: 1\r\n" +
                 lengthField(0) + "\r\n");
      });
  CAPTURE(received->Bytes);
  checkOutcome(*received, route);
}

// The entry waited for the response until the request's deadline.
TEST_CASE("a switch of protocols holds no caller") {
  const std::string route = GENERATE("safe", "once", "stream", "stream-once");
  CAPTURE(route);
  EntryFixture fixture;
  const auto received =
      exchange(fixture, route, [](const auto &, const auto &, const auto &it) {
        it->send("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n");
      });
  CAPTURE(received->Bytes);
  checkOutcome(*received, route);
}

TEST_CASE("an interim response with a faulty head spoils what follows it") {
  const std::string interim =
      GENERATE("HTTP/1.1 100 X\r\nX Y: z\r\n\r\n", "HTTP/1.1 101 X\r\n\r\n");
  const std::string route = GENERATE("safe", "once");
  CAPTURE(interim, route);
  EntryFixture fixture;
  const auto received = exchange(
      fixture, route, [&](const auto &head, const auto &, const auto &it) {
        it->send(interim + signedResponse(head, FaultyBody));
      });
  CAPTURE(received->Bytes);
  checkOutcome(*received, route);
}

TEST_CASE("a sound interim response precedes the answer") {
  const std::string route = GENERATE("safe", "once", "stream", "stream-once");
  CAPTURE(route);
  EntryFixture fixture;
  fixture.addTarget("t1", [](const auto &head, const auto &, const auto &it) {
    it->send("HTTP/1.1 103 X\r\nX-A: b\r\n\r\n" +
             signedResponse(head, SoundBody));
  });
  const auto received = fixture.send(requestText(route, "r1"));
  REQUIRE(fixture.runUntil([&] { return hasEnded(*received); }));
  CAPTURE(received->Bytes);
  CHECK(completeBody(*received) == SoundBody);
}

// The body ended with the head and the body of another response.
TEST_CASE("a second response with a faulty head is no part of a body") {
  const std::string route = GENERATE("safe", "once");
  const bool isFramed = GENERATE(true, false);
  const std::string line =
      GENERATE("", "X Y: z\r\n", " X-Y: z\r\n", "X\x01Y: z\r\n", "X\tY: z\r\n",
               "X-Y: a\x01z\r\n");
  const std::string status = GENERATE("000", "200", "600");
  CAPTURE(route, isFramed, line, status);
  EntryFixture fixture;
  const auto received = exchange(
      fixture, route, [&](const auto &head, const auto &, const auto &it) {
        const std::string body =
            "HTTP/1.1 " + status + " X\r\n" + line + targetFields(head) +
            lengthField(std::string(FaultyBody).size()) + "\r\n" + FaultyBody;
        it->send("HTTP/1.1 200 X\r\n" + targetFields(head) +
                 (isFramed ? lengthField(body.size()) : "") + "\r\n" + body);
        if (!isFramed)
          it->closeAfterSending();
      });
  CAPTURE(received->Bytes);
  checkOutcome(*received, route);
}

// What a sound body may quote of the protocol must not fail it.
TEST_CASE("text that only resembles a head stays part of a body") {
  const std::string text =
      GENERATE("HTTP/1.1 200 OK\r\n{\"a\": 1}\r\n\r\n",
               "HTTP/1.1 200 OK\r\nnote (a): b\r\n\r\n",
               "HTTP/1.1 000 X\nX Y: z\n\n", "HTTP/1.1 2000 X\r\n\r\n");
  const bool isFramed = GENERATE(true, false);
  CAPTURE(text, isFramed);
  EntryFixture fixture;
  fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const Connection &it) {
        it->send("HTTP/1.1 200 X\r\n" + targetFields(head) +
                 (isFramed ? lengthField(text.size()) : "") + "\r\n" + text);
        if (!isFramed)
          it->closeAfterSending();
      });
  const auto received = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return hasEnded(*received); }));
  CAPTURE(received->Bytes);
  CHECK(completeBody(*received) == text);
}
