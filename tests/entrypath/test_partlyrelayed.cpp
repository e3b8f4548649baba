// Targets that fail after a part of their response has been relayed.
#include "entryfixture.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <random>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using adaptertcp::MessageParser;
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

/// Above what an entry buffers of a plain response before it relays it.
constexpr std::size_t LargeBytes = 131072;
constexpr std::size_t UsualBytes = 800;

/// Returns a body in which each target's bytes differ.
std::string bodyOf(char target, std::size_t size) {
  return std::string(size, target);
}

void respond(EntryFixture &fixture, char target, const ScriptedResponse &script,
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
  if (script.isComplete())
    return;
  auto timer =
      std::make_shared<boost::asio::steady_timer>(fixture.loop(), 20ms);
  timer->async_wait([timer, script, connection](const auto &ec) {
    if (ec)
      return;
    if (script.End == Ending::Reset)
      connection->abort();
    else if (script.End == Ending::Close)
      connection->closeAfterSending();
    else if (script.Framing == BodyFraming::Chunked)
      connection->send("no chunk\r\n");
    else
      connection->abort();
  });
}

/// Returns the body of the complete response that a caller has received, if
/// there is one.
std::optional<std::string> completeBody(const Received &received) {
  MessageParser parser(MessageParser::Kind::Response);
  std::string_view rest = received.Bytes;
  rest.remove_prefix(parser.push(rest));
  if (!parser.isComplete())
    return std::nullopt;
  REQUIRE(rest.empty());
  if (parser.responseHead().Status != 200)
    return std::nullopt;
  return parser.body();
}

bool hasEnded(const Received &received) {
  MessageParser parser(MessageParser::Kind::Response);
  (void)parser.push(received.Bytes);
  return received.Closed || parser.isComplete();
}

} // namespace

// Guards against a caller that gets the beginning of one target's response and
// the response of another target as one complete response.
TEST_CASE("a partly relayed plain response isn't completed by another target") {
  const auto framing = GENERATE(BodyFraming::Length, BodyFraming::Chunked);
  const auto ending = GENERATE(Ending::Reset, Ending::Close, Ending::Malformed);
  CAPTURE(static_cast<int>(framing), static_cast<int>(ending));
  const ScriptedResponse cut{framing, LargeBytes + UsualBytes, LargeBytes,
                             ending};
  const ScriptedResponse whole{BodyFraming::Length, UsualBytes, UsualBytes};
  EntryFixture fixture;
  const TestTarget &first = fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &it) {
        respond(fixture, 'a', cut, head, it);
      });
  const auto received = fixture.send(requestText("safe", "r1"));
  REQUIRE(fixture.runUntil([&] { return first.requestCount() == 1; }));
  const TestTarget &second = fixture.addTarget(
      "t2", [&](const auto &head, const auto &, const auto &it) {
        respond(fixture, 'b', whole, head, it);
      });
  REQUIRE(fixture.runUntil([&] { return hasEnded(*received); }));
  CHECK_FALSE(completeBody(*received));
  CHECK_FALSE(received->has(std::string(UsualBytes, 'b')));
  CHECK(received->Closed);
  CHECK(second.requestCount() == 0);
}

// Guards against a fix that no longer retries what nothing was relayed of.
TEST_CASE("a plain response that failed before it was relayed is retried") {
  const auto framing = GENERATE(BodyFraming::Length, BodyFraming::Chunked);
  const ScriptedResponse cut{framing, 2 * UsualBytes, UsualBytes,
                             Ending::Reset};
  const ScriptedResponse whole{BodyFraming::Length, UsualBytes, UsualBytes};
  EntryFixture fixture;
  const TestTarget &first = fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &it) {
        respond(fixture, 'a', cut, head, it);
      });
  const auto received = fixture.send(requestText("safe", "r1"));
  REQUIRE(fixture.runUntil([&] { return first.requestCount() == 1; }));
  fixture.addTarget("t2", [&](const auto &head, const auto &, const auto &it) {
    respond(fixture, 'b', whole, head, it);
  });
  REQUIRE(fixture.runUntil([&] { return hasEnded(*received); }));
  CHECK(completeBody(*received) == bodyOf('b', UsualBytes));
}

// Guards against the same class with any sizes, framings and ends: a complete
// response has the whole body of one target that sent a whole body.
TEST_CASE("a complete plain response comes from one target") {
  constexpr std::uint32_t Seed = 49;
  constexpr int Cases = 60;
  std::mt19937 random(Seed);
  const std::array<std::size_t, 5> sizes{UsualBytes, 32768, 65536, 65537,
                                         LargeBytes};
  const auto draw = [&](std::size_t n) { return random() % n; };
  const auto drawResponse = [&] {
    ScriptedResponse it;
    it.Framing = draw(2) == 0 ? BodyFraming::Length : BodyFraming::Chunked;
    it.BodyBytes = sizes[draw(sizes.size())];
    it.SentBytes = draw(3) == 0 ? it.BodyBytes : draw(it.BodyBytes);
    it.End = static_cast<Ending>(draw(3));
    return it;
  };
  for (int i = 0; i < Cases; ++i) {
    const std::array<ScriptedResponse, 2> scripts{drawResponse(),
                                                  drawResponse()};
    const std::string route = draw(3) == 0 ? "once" : "safe";
    CAPTURE(Seed, i, route);
    EntryFixture fixture;
    for (std::size_t t = 0; t < scripts.size(); ++t)
      fixture.addTarget("t" + std::to_string(t),
                        [&, t](const auto &head, const auto &, const auto &it) {
                          respond(fixture, static_cast<char>('a' + t),
                                  scripts[t], head, it);
                        });
    const auto received = fixture.send(requestText(route, "r1"));
    REQUIRE(fixture.runUntil([&] { return hasEnded(*received); }));
    const auto body = completeBody(*received);
    if (!body)
      continue;
    REQUIRE_FALSE(body->empty());
    const auto source = static_cast<std::size_t>(body->front() - 'a');
    REQUIRE(source < scripts.size());
    CHECK(scripts[source].isComplete());
    CHECK(*body == bodyOf(body->front(), scripts[source].BodyBytes));
  }
}
