// Responses that state no length, so that only the end of the connection shows
// where they end.
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

/// What follows the answer of a target, or its beginning, before the end of the
/// connection.
enum class Flaw {
  None,
  /// The answer once more, with its head, a little later.
  Copy,
  CopyCutInHead,
  /// Bytes that belong to no response, more than a body may have.
  Endless,
  /// The target ends in the middle of the answer.
  Crash,
};

/// A body that quotes the protocol, as a sound one may.
std::string bodyOf(const std::string &id) {
  return "body of " + id + ": HTTP/1.1 200 OK\n\n" + std::string(700, 'x') +
         " end of " + id;
}

std::string unframed(const RequestHead &head, const std::string &body) {
  return "HTTP/1.1 200 X\r\nX-Id: " +
         std::string(head.Headers.value("X-Id").value_or("")) +
         "\r\nX-Signed: 1\r\n\r\n" + body;
}

void runLater(boost::asio::io_context &loop, milliseconds delay,
              std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(loop, delay);
  timer->async_wait([timer, action = std::move(action)](const auto &ec) {
    if (!ec)
      action();
  });
}

/// Answers without a length.
void respondUnframed(EntryFixture &fixture, Flaw flaw, TestTarget *target,
                     const RequestHead &head, const Connection &connection) {
  const std::string answer =
      unframed(head, bodyOf(std::string(*head.Headers.value("X-Id"))));
  switch (flaw) {
  case Flaw::None:
    connection->send(answer);
    connection->closeAfterSending();
    return;
  case Flaw::Copy:
  case Flaw::CopyCutInHead:
    connection->send(answer);
    runLater(fixture.loop(), 15ms, [=] {
      connection->send(flaw == Flaw::Copy ? answer : answer.substr(0, 25));
      connection->closeAfterSending();
    });
    return;
  case Flaw::Endless:
    connection->send(answer + std::string(100000, 'y'));
    runLater(fixture.loop(), 15ms, [=] { connection->closeAfterSending(); });
    return;
  case Flaw::Crash:
    connection->send(answer.substr(0, answer.size() / 2));
    runLater(fixture.loop(), 5ms, [=] { target->exit(); });
    return;
  }
}

void respondFramed(const RequestHead &head, const std::string &,
                   const Connection &connection) {
  connection->send(
      signedResponse(head, bodyOf(std::string(*head.Headers.value("X-Id")))));
}

bool hasWholeAnswer(const Received &received, const std::string &id) {
  const std::string body = bodyOf(id);
  return received.Bytes.starts_with("HTTP/1.1 200") &&
         received.Bytes.ends_with("\r\n\r\n" + body) &&
         received.has("Content-Length: " + std::to_string(body.size()));
}

bool isAnswered(const Received &received) {
  return received.Closed || received.has("HTTP/1.1 5") ||
         received.has(" end of ");
}

} // namespace

// Guards against bytes that belong to no response, and against the beginning of
// an answer, that a caller gets as a whole answer.
TEST_CASE("a caller gets no more and no less than an unframed answer") {
  const std::string route = GENERATE("safe", "once");
  const Flaw flaw = GENERATE(Flaw::None, Flaw::Copy, Flaw::CopyCutInHead,
                             Flaw::Endless, Flaw::Crash);
  CAPTURE(route, static_cast<int>(flaw));
  EntryFixture fixture;
  TestTarget *target = nullptr;
  target = &fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &it) {
        respondUnframed(fixture, flaw, target, head, it);
      });
  const auto received = fixture.send(requestText(route, "r1"));
  REQUIRE(fixture.runUntil([&] { return target->requestCount() == 1; }));
  fixture.addTarget("t2", respondFramed);
  REQUIRE(fixture.runUntil([&] { return isAnswered(*received); }));
  fixture.run(30ms);
  // A safe request gets its answer from the other target. A request that may
  // run once gets it if nothing speaks against it.
  if (route == "safe" || flaw == Flaw::None)
    CHECK(hasWholeAnswer(*received, "r1"));
  else
    CHECK(received->has("HTTP/1.1 502"));
}

TEST_CASE("unframed answers get through if all are unframed") {
  const bool hasOther = GENERATE(false, true);
  EntryFixture fixture;
  const auto respond = [&](const auto &head, const auto &, const auto &it) {
    respondUnframed(fixture, Flaw::None, nullptr, head, it);
  };
  std::vector<TestTarget *> targets{&fixture.addTarget("t1", respond)};
  if (hasOther)
    targets.push_back(&fixture.addTarget("t2", respond));
  constexpr std::uint32_t Requests = 30;
  for (std::uint32_t i = 0; i < Requests; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto received = fixture.send(requestText("safe", id));
    REQUIRE(fixture.runUntil([&] { return isAnswered(*received); }));
    CAPTURE(i, received->Bytes);
    CHECK(hasWholeAnswer(*received, id));
  }
  std::uint32_t dispatches = 0;
  for (const TestTarget *it : targets)
    dispatches += it->requestCount();
  // Requests are repeated only until the entry knows how the service responds.
  CHECK(dispatches <= Requests + (hasOther ? 8 : 0));
}

// Guards against a stream that looks complete although its target ended within
// it, and against a copy of its events behind it.
TEST_CASE("an unframed stream ends only as its target meant it to") {
  const Flaw flaw = GENERATE(Flaw::None, Flaw::Copy, Flaw::Crash);
  CAPTURE(static_cast<int>(flaw));
  const auto events = [](int first, int last) {
    std::string text;
    for (int i = first; i <= last; ++i)
      text += "id: " + std::to_string(i) + "\ndata: x\n\n";
    return text;
  };
  EntryFixture fixture;
  TestTarget *target = nullptr;
  target = &fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &it) {
        it->send(unframed(head, events(1, flaw == Flaw::Crash ? 2 : 3)));
        const std::string copy = unframed(head, events(1, 3));
        runLater(fixture.loop(), 10ms, [=, &target] {
          if (flaw == Flaw::Crash) {
            target->exit();
            return;
          }
          if (flaw == Flaw::Copy)
            it->send(copy);
          it->closeAfterSending();
        });
      });
  const auto received = fixture.send(requestText("stream", "r1"));
  REQUIRE(fixture.runUntil([&] { return target->requestCount() == 1; }));
  fixture.addTarget("t2", [&](const auto &head, const auto &, const auto &it) {
    const auto after =
        adaptertcp::parseNumber(*head.Headers.value("X-After")).value_or(0);
    std::string text = "HTTP/1.1 200 X\r\nX-Id: r1\r\nX-Signed: 1\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    if (after < 3)
      adaptertcp::appendChunk(text, events(static_cast<int>(after) + 1, 3));
    it->send(text + "0\r\n\r\n");
  });
  REQUIRE(fixture.runUntil(
      [&] { return received->has("0\r\n\r\n") || received->Closed; }));
  CHECK(received->has("0\r\n\r\n"));
  for (int i = 1; i <= 3; ++i) {
    const std::string text = "id: " + std::to_string(i) + "\n";
    REQUIRE(received->has(text));
    CHECK(received->Bytes.find(text) == received->Bytes.rfind(text));
  }
  CHECK(received->Bytes.rfind("HTTP/1.1 200") == 0);
}

TEST_CASE("among flawed unframed answers no success is wrong") {
  constexpr std::array Flaws = {Flaw::None, Flaw::None, Flaw::Copy,
                                Flaw::CopyCutInHead, Flaw::Endless};
  for (unsigned seed = 1; seed <= 8; ++seed) {
    std::mt19937 random(seed);
    EntryFixture fixture;
    for (const char *id : {"t1", "t2"})
      fixture.addTarget(
          id, [&](const auto &head, const auto &body, const auto &it) {
            if (random() % 3 == 0)
              respondUnframed(fixture, Flaws.at(random() % Flaws.size()),
                              nullptr, head, it);
            else
              respondFramed(head, body, it);
          });
    std::vector<std::pair<std::string, std::shared_ptr<Received>>> sent;
    for (int i = 0; i < 40; ++i) {
      const std::string id = "r" + std::to_string(100 + i);
      sent.emplace_back(
          id, fixture.send(requestText(i % 2 == 0 ? "safe" : "once", id)));
      fixture.run(milliseconds(random() % 5));
    }
    REQUIRE(fixture.runUntil([&] {
      return std::all_of(sent.begin(), sent.end(),
                         [](const auto &it) { return isAnswered(*it.second); });
    }));
    fixture.run(30ms);
    for (const auto &[id, received] : sent) {
      CAPTURE(seed, id, received->Bytes.substr(0, 300));
      if (received->Bytes.starts_with("HTTP/1.1 200"))
        CHECK(hasWholeAnswer(*received, id));
    }
  }
}
