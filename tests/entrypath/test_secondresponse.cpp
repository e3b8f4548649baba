// Second responses of a target within the framed body of its first.
#include "entryfixture.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using adaptertcp::RequestHead;
using Connection = TestTarget::Connection;
using std::chrono::milliseconds;

namespace {

enum class BodyFraming { Length, Chunked };

/// What stands within the body of the first response.
enum class Second {
  Whole,
  CutInBody,
  /// The head comes in two parts, the first of them with bytes of the body.
  SplitInHead,
  /// The stated length ends within the head's status line, and the rest comes
  /// at once.
  LongerThanBody,
  /// The stated length ends within the last field of the head, and nothing
  /// follows yet.
  CutInHead,
};

/// The size of a body, and what its target sends before the second response.
struct BodySize {
  std::size_t Bytes = 0;
  std::size_t BytesBefore = 0;
};

constexpr BodySize Short{800, 300};
/// Above what an entry buffers of a plain response before it relays it.
constexpr BodySize Large{131072, 100000};

/// Bytes of the body that come with the first part of a split head.
constexpr std::size_t JoinedBytes = 50;

constexpr milliseconds Delay{15};

std::string headOf(const RequestHead &head, const std::string &framing,
                   int status = 200) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + framing +
         "X-Id: " + std::string(head.Headers.value("X-Id").value_or("")) +
         "\r\nX-Signed: 1\r\n\r\n";
}

std::string lengthField(std::size_t n) {
  return "Content-Length: " + std::to_string(n) + "\r\n";
}

std::string chunk(const std::string &bytes) {
  std::string text;
  adaptertcp::appendChunk(text, bytes);
  return text;
}

void sendLater(EntryFixture &fixture, const Connection &connection,
               milliseconds delay, const std::string &bytes) {
  auto timer =
      std::make_shared<boost::asio::steady_timer>(fixture.loop(), delay);
  timer->async_wait([timer, connection, bytes](const auto &ec) {
    if (!ec)
      connection->send(bytes);
  });
}

/// Sends a part of a response that states a length, and then a second response.
void respondWithLength(EntryFixture &fixture, BodySize size, Second second,
                       const RequestHead &head, const Connection &connection,
                       int status = 200) {
  constexpr std::size_t StatusLineBytes = 15;
  const std::string again =
      headOf(head, lengthField(size.Bytes)) + std::string(size.Bytes, 'b');
  const std::size_t headBytes = again.find("\r\n\r\n");
  std::size_t stated = size.Bytes;
  if (second == Second::LongerThanBody)
    stated = size.BytesBefore + StatusLineBytes;
  else if (second == Second::CutInHead)
    stated = size.BytesBefore + headBytes;
  const std::size_t joined = second == Second::SplitInHead ? JoinedBytes : 0;
  connection->send(headOf(head, lengthField(stated), status) +
                   std::string(size.BytesBefore - joined, 'a'));
  switch (second) {
  case Second::Whole:
  case Second::LongerThanBody:
    sendLater(fixture, connection, Delay, again);
    return;
  case Second::CutInBody:
  case Second::CutInHead:
    sendLater(fixture, connection, Delay,
              again.substr(0, stated - size.BytesBefore));
    return;
  case Second::SplitInHead:
    sendLater(fixture, connection, Delay,
              std::string(joined, 'a') + again.substr(0, headBytes / 2));
    sendLater(fixture, connection, 2 * Delay, again.substr(headBytes / 2));
    return;
  }
}

/// Sends a whole body in a chunk, and then a chunk with a second response.
void respondInChunks(EntryFixture &fixture, BodySize size, Second second,
                     const RequestHead &head, const Connection &connection) {
  const std::string again =
      headOf(head, lengthField(size.Bytes)) + std::string(size.Bytes, 'b');
  const std::size_t headBytes = again.find("\r\n\r\n");
  const std::string end(adaptertcp::LastChunk);
  const std::size_t joined = second == Second::SplitInHead ? JoinedBytes : 0;
  connection->send(headOf(head, "Transfer-Encoding: chunked\r\n") +
                   chunk(std::string(size.Bytes - joined, 'a')));
  switch (second) {
  case Second::Whole:
  case Second::LongerThanBody:
    sendLater(fixture, connection, Delay, chunk(again) + end);
    return;
  case Second::CutInBody:
    sendLater(fixture, connection, Delay,
              chunk(again.substr(0, again.size() / 2)) + end);
    return;
  case Second::CutInHead:
    sendLater(fixture, connection, Delay,
              chunk(again.substr(0, headBytes)) + end);
    return;
  case Second::SplitInHead:
    sendLater(fixture, connection, Delay,
              chunk(std::string(joined, 'a') + again.substr(0, headBytes / 2)));
    sendLater(fixture, connection, 2 * Delay,
              chunk(again.substr(headBytes / 2)) + end);
    return;
  }
}

void respondWhole(const RequestHead &head, const std::string &,
                  const Connection &connection) {
  connection->send(signedResponse(head, std::string(Short.Bytes, 'c')));
}

/// Adds a target that sends a second response within the body of its first.
TestTarget &addStutteringTarget(EntryFixture &fixture, BodyFraming framing,
                                const BodySize &body, Second second) {
  return fixture.addTarget(
      "t1", [&fixture, framing, body, second](const auto &head, const auto &,
                                              const auto &it) {
        if (framing == BodyFraming::Length)
          respondWithLength(fixture, body, second, head, it);
        else
          respondInChunks(fixture, body, second, head, it);
      });
}

std::string eventText(int number) {
  return "id: " + std::to_string(number) + "\ndata: HTTP/1.1 200 OK\n\n";
}

} // namespace

// Guards against a caller that gets the bytes of a second response as a part of
// a complete one.
TEST_CASE("a short body with a second response isn't relayed") {
  const auto framing = GENERATE(BodyFraming::Length, BodyFraming::Chunked);
  const std::string route = GENERATE("safe", "once");
  const auto second =
      GENERATE(Second::Whole, Second::CutInBody, Second::SplitInHead,
               Second::LongerThanBody, Second::CutInHead);
  CAPTURE(static_cast<int>(framing), route, static_cast<int>(second));
  EntryFixture fixture;
  const TestTarget &first =
      addStutteringTarget(fixture, framing, Short, second);
  const auto received = fixture.send(requestText(route, "r1"));
  REQUIRE(fixture.runUntil([&] { return first.requestCount() == 1; }));
  const TestTarget &other = fixture.addTarget("t2", respondWhole);
  REQUIRE(fixture.runUntil([&] { return hasEnded(*received); }));
  const auto body = completeBody(*received);
  if (route == "safe") {
    CHECK(body == std::string(Short.Bytes, 'c'));
  } else {
    CHECK_FALSE(body);
    CHECK(received->has("HTTP/1.1 502"));
    CHECK(other.requestCount() == 0);
  }
}

// Guards against the same in a response of which a part has been relayed.
TEST_CASE("a relayed body with a second response is aborted") {
  const auto framing = GENERATE(BodyFraming::Length, BodyFraming::Chunked);
  const std::string route = GENERATE("safe", "once");
  const auto second =
      GENERATE(Second::Whole, Second::CutInBody, Second::SplitInHead,
               Second::LongerThanBody, Second::CutInHead);
  CAPTURE(static_cast<int>(framing), route, static_cast<int>(second));
  EntryFixture fixture;
  const TestTarget &first =
      addStutteringTarget(fixture, framing, Large, second);
  const auto received = fixture.send(requestText(route, "r1"));
  REQUIRE(fixture.runUntil([&] { return first.requestCount() == 1; }));
  const TestTarget &other = fixture.addTarget("t2", respondWhole);
  REQUIRE(fixture.runUntil([&] { return hasEnded(*received); }));
  CHECK(received->Bytes.starts_with("HTTP/1.1 200"));
  CHECK_FALSE(completeBody(*received));
  CHECK(received->Closed);
  CHECK(received->Bytes.find("HTTP/1.") == received->Bytes.rfind("HTTP/1."));
  CHECK(other.requestCount() == 0);
}

TEST_CASE("an error with a second response in its body isn't relayed") {
  const std::string route = GENERATE("safe", "once");
  const auto second = GENERATE(Second::Whole, Second::SplitInHead);
  CAPTURE(route, static_cast<int>(second));
  EntryFixture fixture;
  const TestTarget &first = fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &it) {
        respondWithLength(fixture, Short, second, head, it, 404);
      });
  const auto received = fixture.send(requestText(route, "r1"));
  REQUIRE(fixture.runUntil([&] { return first.requestCount() == 1; }));
  fixture.addTarget("t2", respondWhole);
  REQUIRE(fixture.runUntil([&] { return hasEnded(*received); }));
  if (route == "safe")
    CHECK(completeBody(*received) == std::string(Short.Bytes, 'c'));
  else
    CHECK(received->has("HTTP/1.1 502"));
}

// Guards against a search that takes a document for a response.
TEST_CASE("bodies that quote the protocol get through unchanged") {
  const auto framing = GENERATE(BodyFraming::Length, BodyFraming::Chunked);
  const std::string route = GENERATE("safe", "once");
  const std::string quoted = GENERATE(
      "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.",
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nHTTP/1.1 200 OK\r\nX-Signed: 1\r\n"
      "\r\n",
      "HTTP/1.1 200 OK\nX-Id: r1\nX-Signed: 1\n\n",
      "X-Id: r1\r\nX-Signed: 1\r\n\r\n");
  const std::size_t filler = GENERATE(200, 70000);
  // A body may also end with the text, or hold it where it is split.
  const std::string rest = GENERATE("", " and more", "large");
  const std::string body = std::string(filler, 'a') + quoted +
                           (rest == "large" ? std::string(70000, 'x') : rest);
  // The copy of a response that is sent twice belongs to no request.
  const bool sentTwice = GENERATE(false, true);
  CAPTURE(static_cast<int>(framing), route, quoted, filler, rest, sentTwice);
  const std::size_t split = filler + quoted.size() / 2;
  EntryFixture fixture;
  fixture.addTarget("t1", [&](const auto &head, const auto &, const auto &it) {
    const std::string start =
        framing == BodyFraming::Length
            ? headOf(head, lengthField(body.size())) + body.substr(0, split)
            : headOf(head, "Transfer-Encoding: chunked\r\n") +
                  chunk(body.substr(0, split));
    const std::string end =
        framing == BodyFraming::Length
            ? body.substr(split)
            : chunk(body.substr(split)) + std::string(adaptertcp::LastChunk);
    it->send(start);
    sendLater(fixture, it, 2ms, sentTwice ? end + start + end : end);
  });
  const auto received = fixture.send(requestText(route, "r1"));
  REQUIRE(fixture.runUntil([&] { return hasEnded(*received); }));
  CHECK(completeBody(*received) == body);
}

// Guards against the head of a second response that a caller gets as an event.
TEST_CASE("a second response within a chunked stream isn't relayed") {
  const std::string route = GENERATE("stream", "stream-once");
  const std::size_t parts = GENERATE(1, 2, 3, 7);
  const bool isCutInEvent = GENERATE(false, true);
  CAPTURE(route, parts, isCutInEvent);
  EntryFixture fixture;
  const TestTarget &first = fixture.addTarget("t1", [&](const auto &head,
                                                        const auto &,
                                                        const auto &it) {
    const std::string start = headOf(head, "Transfer-Encoding: chunked"
                                           "\r\n");
    it->send(start + chunk(eventText(1) + eventText(2) +
                           (isCutInEvent ? eventText(3).substr(0, 12) : "")));
    const std::string again = start + eventText(1) + eventText(2);
    for (std::size_t i = 0; i < parts; ++i) {
      const std::size_t from = again.size() * i / parts;
      const std::size_t to = again.size() * (i + 1) / parts;
      sendLater(fixture, it, Delay + 3ms * i,
                chunk(again.substr(from, to - from)));
    }
    sendLater(fixture, it, Delay + 3ms * parts,
              std::string(adaptertcp::LastChunk));
  });
  const auto received = fixture.send(requestText(route, "r1"));
  REQUIRE(fixture.runUntil([&] { return first.requestCount() == 1; }));
  fixture.addTarget("t2", [&](const auto &head, const auto &, const auto &it) {
    const auto after =
        adaptertcp::parseNumber(*head.Headers.value("X-After")).value_or(0);
    std::string text = headOf(head, "Transfer-Encoding: chunked\r\n");
    for (int i = static_cast<int>(after) + 1; i <= 3; ++i)
      text += chunk(eventText(i));
    it->send(text + std::string(adaptertcp::LastChunk));
  });
  REQUIRE(fixture.runUntil([&] { return hasEnded(*received); }));
  CHECK(received->Bytes.find("X-Signed") == received->Bytes.rfind("X-Signed"));
  CHECK(received->Bytes.find("id: 1\n") == received->Bytes.rfind("id: 1\n"));
  if (route == "stream")
    CHECK(completeBody(*received) ==
          eventText(1) + eventText(2) + eventText(3));
  else
    CHECK_FALSE(completeBody(*received));
}
