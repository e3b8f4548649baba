// Streams that break off and whose rest another target may or may not send.
#include "entryfixture.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using adaptertcp::RequestHead;
using Connection = TestTarget::Connection;

namespace {

std::string streamText(const RequestHead &head,
                       const std::vector<std::string> &events) {
  std::string text = "HTTP/1.1 200 OK\r\nX-Id: " +
                     std::string(head.Headers.value("X-Id").value_or("")) +
                     "\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const auto &it : events)
    adaptertcp::appendChunk(text, it);
  return text;
}

/// Plays a resumable stream: the first target sends events and resets the
/// connection, the second one sends whole streams whatever it is asked for.
struct BrokenStream {
  BrokenStream(const std::vector<std::string> &first,
               const std::vector<std::string> &second) {
    const TestTarget &target =
        Fixture.addTarget("t1", [this, first](const auto &head, const auto &,
                                              const auto &connection) {
          connection->send(streamText(head, first));
          auto timer =
              std::make_shared<boost::asio::steady_timer>(Fixture.loop(), 10ms);
          timer->async_wait(
              [timer, connection](const auto &) { connection->abort(); });
        });
    Caller = Fixture.send(requestText("stream", "r1"));
    REQUIRE(Fixture.runUntil([&] { return target.requestCount() == 1; }));
    Second = &Fixture.addTarget("t2", [second](const auto &head, const auto &,
                                               const auto &it) {
      it->send(streamText(head, second) + std::string(adaptertcp::LastChunk));
    });
    REQUIRE(Fixture.runUntil(
        [&] { return Caller->Closed || Caller->has("0\r\n\r\n"); }));
  }

  EntryFixture Fixture;
  std::shared_ptr<Received> Caller;
  TestTarget *Second = nullptr;
};

std::size_t count(const Received &received, std::string_view text) {
  std::size_t n = 0;
  for (auto at = received.Bytes.find(text); at != std::string::npos;
       at = received.Bytes.find(text, at + 1))
    ++n;
  return n;
}

} // namespace

// Guards against a stream whose beginning the caller gets twice, as nothing
// tells the second target what the caller already has.
TEST_CASE("a stream isn't resumed after an event without an id") {
  const std::vector<std::string> first =
      GENERATE(std::vector<std::string>{"data: x\n\n"},
               std::vector<std::string>{"id: 1\ndata: x\n\n", "data: y\n\n"});
  const BrokenStream it(first, {"id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"});
  CHECK(it.Caller->Closed);
  CHECK_FALSE(it.Caller->has("0\r\n\r\n"));
  CHECK(count(*it.Caller, "data: x\n") == 1);
  CHECK(it.Second->requestCount() == 0);
}

// Guards against a target that is asked for the rest of a stream and sends it
// from its start.
TEST_CASE("a stream that starts again isn't taken for the rest") {
  const BrokenStream it(
      {"id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"},
      {"id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n", "id: 3\ndata: z\n\n"});
  CHECK(it.Caller->Closed);
  CHECK_FALSE(it.Caller->has("0\r\n\r\n"));
  CHECK(count(*it.Caller, "data: x\n") == 1);
  CHECK(count(*it.Caller, "data: y\n") == 1);
  CHECK(it.Second->requestCount() == 1);
}

TEST_CASE("a stream is resumed after the last event that the caller has") {
  const BrokenStream it({"id: 9\ndata: x\n\n", "id: 10\ndata: y\n\nid: 11\nda"},
                        {"id: 11\nda", "ta: z\n\n"});
  CHECK(it.Caller->has("0\r\n\r\n"));
  CHECK(count(*it.Caller, "data: x\n") == 1);
  CHECK(count(*it.Caller, "data: y\n") == 1);
  CHECK(count(*it.Caller, "id: 11\nda") == 1);
  CHECK(it.Second->requestCount() == 1);
}
