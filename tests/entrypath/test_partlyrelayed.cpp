// Targets that fail after a part of their response has been relayed.
#include "entryfixture.h"

#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <random>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using adaptertcp::RequestHead;
using Connection = TestTarget::Connection;

namespace {

enum class BodyFraming { Length, Chunked };

/// How a connection ends after the bytes of an incomplete response.
enum class Ending { Reset, Close, Malformed };

/// A target's response: the body is complete if `SentBytes` is its size.
struct ScriptedResponse {
  BodyFraming Framing = BodyFraming::Chunked;
  std::size_t BodyBytes = 0;
  std::size_t SentBytes = 0;
  Ending End = Ending::Reset;

  bool isComplete() const { return SentBytes == BodyBytes; }
};

/// An entry relays a plain response only once it is complete, or has more bytes
/// than this.
constexpr std::size_t MaxBufferedBytes = 65536;
constexpr std::size_t LargeBytes = 131072;
constexpr std::size_t UsualBytes = 800;

/// Returns a body in which each target's bytes differ.
std::string bodyOf(char target, std::size_t size) {
  return std::string(size, target);
}

/// Sends what a target sends of its response.
void respond(char target, const ScriptedResponse &script,
             const RequestHead &head, const Connection &connection) {
  const std::string id(head.Headers.value("X-Id").value_or(""));
  std::string text = "HTTP/1.1 200 X\r\nX-Id: " + id + "\r\nX-Signed: 1\r\n";
  const std::string sent = bodyOf(target, script.SentBytes);
  if (script.Framing == BodyFraming::Length) {
    text += "Content-Length: " + std::to_string(script.BodyBytes) + "\r\n\r\n" +
            sent;
  } else {
    text += "Transfer-Encoding: chunked\r\n\r\n";
    if (!sent.empty())
      adaptertcp::appendChunk(text, sent);
    if (script.isComplete())
      text += adaptertcp::LastChunk;
  }
  connection->send(text);
}

/// Ends an incomplete response.
void fail(const ScriptedResponse &script, const Connection &connection) {
  switch (script.End) {
  case Ending::Reset:
    connection->abort();
    return;
  case Ending::Close:
    connection->closeAfterSending();
    return;
  case Ending::Malformed:
    REQUIRE(script.Framing == BodyFraming::Chunked);
    connection->send("no chunk\r\n");
    return;
  }
}

/// Plays a request whose first target fails and returns what its caller
/// received. The second target is added once the first one has the request.
struct Play {
  Play(const std::string &route, const ScriptedResponse &first,
       const ScriptedResponse &second) {
    Connection open;
    const TestTarget &target = Fixture.addTarget(
        "t1", [&](const auto &head, const auto &, const auto &it) {
          open = it;
          respond('a', first, head, it);
        });
    Caller = Fixture.send(requestText(route, "r1"));
    REQUIRE(Fixture.runUntil([&] { return target.requestCount() == 1; }));
    SecondTarget = &Fixture.addTarget(
        "t2", [this, second](const auto &head, const auto &, const auto &it) {
          respond('b', second, head, it);
          if (!second.isComplete())
            Fixture.entry().post([it, second] { fail(second, it); });
        });
    if (!first.isComplete()) {
      // What is relayed at all has been relayed before the target fails.
      if (first.SentBytes > MaxBufferedBytes)
        REQUIRE(Fixture.runUntil([&] {
          return Caller->Closed || Caller->Bytes.size() > first.SentBytes;
        }));
      fail(first, open);
    }
    REQUIRE(Fixture.runUntil([&] { return hasEnded(*Caller); }));
  }

  EntryFixture Fixture;
  std::shared_ptr<Received> Caller;
  TestTarget *SecondTarget = nullptr;
};

} // namespace

// Guards against a caller that gets the beginning of one target's response and
// the response of another target as one complete response.
TEST_CASE("a partly relayed plain response isn't completed by another target") {
  const auto [framing, ending] = GENERATE(
      table<BodyFraming, Ending>({{BodyFraming::Length, Ending::Reset},
                                  {BodyFraming::Length, Ending::Close},
                                  {BodyFraming::Chunked, Ending::Reset},
                                  {BodyFraming::Chunked, Ending::Close},
                                  {BodyFraming::Chunked, Ending::Malformed}}));
  // The two bodies together are as long as the first one should be, or not.
  const std::size_t missing = GENERATE(UsualBytes, UsualBytes / 2, LargeBytes);
  CAPTURE(static_cast<int>(framing), static_cast<int>(ending), missing);
  const Play it("safe", {framing, LargeBytes + missing, LargeBytes, ending},
                {BodyFraming::Length, UsualBytes, UsualBytes});
  CHECK_FALSE(completeBody(*it.Caller));
  CHECK_FALSE(it.Caller->has(bodyOf('b', UsualBytes / 2)));
  CHECK(it.Caller->Closed);
  CHECK(it.SecondTarget->requestCount() == 0);
}

// Guards against a fix that no longer retries what nothing was relayed of.
TEST_CASE("a plain response that failed before it was relayed is retried") {
  const auto framing = GENERATE(BodyFraming::Length, BodyFraming::Chunked);
  const Play it("safe", {framing, 2 * UsualBytes, UsualBytes, Ending::Reset},
                {BodyFraming::Length, UsualBytes, UsualBytes});
  CHECK(completeBody(*it.Caller) == bodyOf('b', UsualBytes));
}

// Guards against the same class with any sizes, framings and ends: a complete
// response has the whole body of one target that sent a whole body, and a
// request that can still be retried gets one.
TEST_CASE("a complete plain response comes from one target") {
  constexpr std::uint32_t Seed = 49;
  constexpr int Cases = 80;
  std::mt19937 random(Seed);
  const std::array<std::size_t, 6> sizes{UsualBytes,       32768,
                                         MaxBufferedBytes, MaxBufferedBytes + 1,
                                         LargeBytes,       2 * LargeBytes};
  const auto draw = [&](std::size_t n) { return random() % n; };
  const auto drawResponse = [&](bool isComplete) {
    ScriptedResponse it;
    it.Framing = draw(2) == 0 ? BodyFraming::Length : BodyFraming::Chunked;
    it.BodyBytes = sizes.at(draw(sizes.size()));
    it.SentBytes = isComplete ? it.BodyBytes : draw(it.BodyBytes);
    it.End =
        static_cast<Ending>(draw(it.Framing == BodyFraming::Chunked ? 3 : 2));
    return it;
  };
  int aborted = 0;
  int retried = 0;
  for (int i = 0; i < Cases; ++i) {
    const auto first = drawResponse(draw(8) == 0);
    const auto second = drawResponse(draw(4) != 0);
    const std::string route = draw(6) == 0 ? "once" : "safe";
    CAPTURE(Seed, i, route, first.BodyBytes, first.SentBytes, second.BodyBytes,
            second.SentBytes);
    const Play it(route, first, second);
    const auto body = completeBody(*it.Caller);
    const bool relayed = first.SentBytes > MaxBufferedBytes;
    const bool isRetried = !first.isComplete() && !relayed && route == "safe";
    const ScriptedResponse &source = isRetried ? second : first;
    if (source.isComplete())
      CHECK(body == bodyOf(isRetried ? 'b' : 'a', source.BodyBytes));
    else
      CHECK_FALSE(body);
    CHECK(it.SecondTarget->requestCount() == (isRetried ? 1 : 0));
    aborted += !first.isComplete() && relayed && route == "safe" ? 1 : 0;
    retried += isRetried && second.isComplete() ? 1 : 0;
  }
  CHECK(aborted >= 10);
  CHECK(retried >= 10);
}
