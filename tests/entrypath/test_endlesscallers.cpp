// Callers that send without end, or that never read what they are sent.
#include "entryfixture.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;

namespace {

/// The fixture's bound.
constexpr std::size_t MaxUploadBytes = 65536;

std::string pipelined(const std::string &route, std::size_t n) {
  std::string text;
  for (std::size_t i = 0; i < n; ++i)
    text += requestText(route, "r" + std::to_string(i));
  return text;
}

} // namespace

TEST_CASE("responses to pipelined requests aren't kept for a caller that "
          "doesn't read") {
  // Far above what the kernel buffers of the connection.
  constexpr std::size_t MaxUnreadBytes = 24 * 1024 * 1024;
  const std::string body(32768, 'x');
  EntryFixture fixture;
  auto &target = fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &connection) {
        connection->send(signedResponse(head, body));
      });
  const std::size_t requests = 2 * MaxUnreadBytes / body.size();
  const auto received = fixture.send(pipelined("safe", requests));
  fixture.setReading(received, false);
  for (int i = 0; i < 40 && target.requestCount() < requests; ++i)
    fixture.run(25ms);
  CHECK(target.requestCount() > 0);
  CHECK(target.requestCount() * body.size() < MaxUnreadBytes);
  // They are served once the caller reads.
  fixture.setReading(received, true);
  const std::string last = "X-Id: r" + std::to_string(requests - 1) + "\r\n";
  CHECK(fixture.runUntil([&] {
    const std::size_t n = received->Bytes.size();
    const std::size_t end = std::min(n, 2 * body.size());
    return received->Bytes.find(last, n - end) != std::string::npos;
  }));
  CHECK_FALSE(received->has("HTTP/1.1 50"));
}

TEST_CASE("incomplete requests of many callers have one bound") {
  // Guards against callers that fill the memory with bodies that don't end.
  constexpr std::size_t BodyBytes = 4000;
  EntryFixture fixture;
  fixture.addTarget(
      "t1", [&](const auto &head, const auto &, const auto &connection) {
        connection->send(signedResponse(head, "body"));
      });
  const std::string endless =
      "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Key: key\r\n"
      "Content-Length: 4096\r\n\r\n" +
      std::string(BodyBytes, 'x');
  std::vector<std::shared_ptr<Received>> callers;
  for (std::size_t i = 0; i < 3 * MaxUploadBytes / BodyBytes; ++i)
    callers.push_back(fixture.send(endless));
  // A small request isn't the one that has to end.
  const auto served = fixture.send(requestText("once", "r1"));
  REQUIRE(fixture.runUntil([&] { return served->has("body"); }));
  fixture.run(50ms);
  std::size_t open = 0;
  for (const auto &it : callers) {
    open += it->Closed ? 0 : 1;
    CHECK(it->Closed == it->has("HTTP/1.1 503"));
    CHECK(it->Closed == it->has("Retry-After"));
  }
  CHECK(open > 0);
  CHECK(open * BodyBytes <= MaxUploadBytes);
  // What ends or leaves frees its share.
  for (const auto &it : callers)
    fixture.disconnect(it);
  fixture.run(50ms);
  const auto next = fixture.send(endless);
  fixture.run(50ms);
  CHECK_FALSE(next->Closed);
}

TEST_CASE("a body that consists of chunk extensions is rejected") {
  EntryFixture fixture;
  std::string chunks;
  for (int i = 0; i < 64; ++i)
    chunks += "1;" + std::string(8000, 'x') + "\r\ny\r\n";
  const std::string head = "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Key: key\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const auto extended = fixture.send(head + chunks);
  REQUIRE(fixture.runUntil([&] { return extended->Closed; }));
  CHECK(extended->has("HTTP/1.1 400"));
  // Chunks of one byte are valid.
  fixture.addTarget(
      "t1", [&](const auto &request, const auto &, const auto &connection) {
        connection->send(signedResponse(request, "body"));
      });
  std::string tiny;
  for (int i = 0; i < 4000; ++i)
    tiny += "1\r\ny\r\n";
  const auto valid = fixture.send(head + tiny + "0\r\n\r\n");
  REQUIRE(fixture.runUntil([&] { return valid->has("\r\n\r\n"); }));
  CHECK(valid->has("HTTP/1.1 200"));
}
