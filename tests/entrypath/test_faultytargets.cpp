// Targets that repeat an earlier response or respond with an error to a stream
// that is resumed.
#include "entryfixture.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using adaptertcp::RequestHead;
using Connection = TestTarget::Connection;

namespace {

std::string refusal(const RequestHead &head) {
  return signedResponse(head, "full", 503, "X-Not-Executed: 1\r\n");
}

std::string streamStart(const RequestHead &head) {
  return "HTTP/1.1 200 X\r\nX-Id: " +
         std::string(head.Headers.value("X-Id").value_or("")) +
         "\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "e\r\nid: 1\ndata:1\n\n\r\n";
}

} // namespace

// The first refusal, written once more, was taken for that of the second
// attempt, which the target was running.
TEST_CASE("a refusal that a target repeats isn't taken for that of a later "
          "attempt") {
  EntryFixture fixture;
  std::uint32_t executions = 0;
  Connection refused;
  RequestHead refusedHead;
  auto &target = fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const Connection &it) {
        if (!refused) {
          refused = it;
          refusedHead = head;
          it->send(refusal(head));
          return;
        }
        ++executions;
        // The request runs, and the earlier refusal comes once more on the
        // connection on which it came before.
        refused->send(refusal(refusedHead));
      });
  const auto received = fixture.send(requestText("safe", "r1"));
  REQUIRE(fixture.runUntil([&] { return target.requestCount() == 2; }));
  fixture.run(100ms);
  CHECK(executions == 1);
  CHECK_FALSE(received->has("HTTP/1.1 503"));
  CHECK(target.connectionCount() == 2);
}

// Without an id it can't be told from a copy of an earlier request's refusal.
TEST_CASE("a refusal without an id on a reused connection proves nothing") {
  EntryFixture fixture;
  std::uint32_t requests = 0;
  fixture.addTarget("t1",
                    [&](const auto &head, const auto &, const Connection &it) {
                      if (++requests == 1)
                        it->send(signedResponse(head, "body"));
                      else
                        it->send("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n"
                                 "Content-Length: 0\r\n\r\n");
                    });
  const auto first = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return first->has("HTTP/1.1 200"); }));
  const auto second = fixture.send(requestText("once", "r2"));
  REQUIRE(fixture.runUntil([&] { return second->has("HTTP/1.1 "); }));
  CHECK(second->has("HTTP/1.1 502"));
  CHECK(requests == 2);
}

TEST_CASE("a refusal without an id on a new connection is the request's own") {
  EntryFixture fixture;
  fixture.addTarget("t1", [&](const auto &, const auto &, const auto &it) {
    it->send("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n"
             "Content-Length: 0\r\n\r\n");
  });
  const auto received = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 503"));
}

// The head and the text of the error stood in the middle of the stream.
TEST_CASE("an error in response to a resumed stream doesn't reach the caller") {
  const int status = GENERATE(302, 400, 404, 409, 421, 429, 500, 503);
  EntryFixture fixture;
  const auto handler = [status](const auto &head, const auto &,
                                const Connection &it) {
    if (head.Headers.value("X-After")) {
      it->send(signedResponse(head, "the error's text", status));
      return;
    }
    it->send(streamStart(head));
    it->closeAfterSending();
  };
  fixture.addTarget("t1", handler);
  fixture.addTarget("t2", handler);
  const auto received = fixture.send(requestText("stream", "r1"));
  REQUIRE(fixture.runUntil([&] { return received->Closed; }));
  CAPTURE(status, received->Bytes);
  CHECK(received->has("id: 1"));
  CHECK_FALSE(received->has("the error's text"));
  CHECK(received->Bytes.find("HTTP/1.1", 1) == std::string::npos);
  CHECK_FALSE(received->has("0\r\n\r\n"));
}

// A head that breaks off must not be framed anew as a whole response.
TEST_CASE("a response that ends within its head is never a success") {
  const bool isReset = GENERATE(false, true);
  const std::string route = GENERATE("once", "stream-once");
  const RequestHead sample = [] {
    RequestHead it;
    it.Headers.add("X-Id", "r1");
    return it;
  }();
  const std::string response = streamStart(sample);
  const std::size_t headEnd = response.find("\r\n\r\n") + 4;
  for (std::size_t n = 1; n < headEnd; n += 3) {
    EntryFixture fixture;
    fixture.addTarget("t1",
                      [&](const auto &, const auto &, const Connection &it) {
                        it->send(response.substr(0, n));
                        if (isReset)
                          it->abort();
                        else
                          it->closeAfterSending();
                      });
    const auto received = fixture.send(requestText(route, "r1"));
    REQUIRE(fixture.runUntil(
        [&] { return received->Closed || received->has("HTTP/1.1 "); }));
    CAPTURE(n, isReset, route, received->Bytes);
    CHECK_FALSE(received->has("HTTP/1.1 2"));
  }
}

TEST_CASE("a copy that ends with its connection doesn't hold the next request "
          "until its deadline") {
  EntryFixture fixture;
  std::uint32_t requests = 0;
  auto &target = fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const Connection &it) {
        if (++requests == 1)
          it->send(signedResponse(head, "body"));
        else
          it->send("HTTP/1.1 200 X\r\nX-Id: r1\r\nX-Signed: 1\r\n\r\nbo");
      });
  const auto first = fixture.send(requestText("safe", "r1"));
  REQUIRE(fixture.runUntil([&] { return first->has("body"); }));
  const auto second = fixture.send(requestText("safe", "r2"));
  REQUIRE(fixture.runUntil([&] { return target.requestCount() == 2; }));
  CHECK(target.connectionCount() == 1);
  fixture.addTarget("t2",
                    [](const auto &head, const auto &, const Connection &it) {
                      it->send(signedResponse(head, "sound"));
                    });
  REQUIRE(fixture.runUntil([&] { return second->has("HTTP/1.1 "); }));
  CHECK(second->has("HTTP/1.1 200"));
  CHECK(second->has("sound"));
}
