// Requests that arrive before the entry has read its first configuration.
#include "entryfixture.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;

namespace {

void echoBody(const adaptertcp::RequestHead &head, const std::string &body,
              const TestTarget::Connection &connection) {
  connection->send(signedResponse(head, "got:" + body));
}

} // namespace

TEST_CASE("a request is held until the first configuration of a new process") {
  // All entries restart at once, and callers' retries arrive while the
  // configuration is being read.
  EntryFixture fixture(EntryFixture::Configured::Later);
  fixture.addTarget("t1", echoBody);
  const auto received =
      fixture.send(requestText("once", "r1", "X-Left: 4000\r\n"));
  fixture.run(100ms);
  CHECK(received->Bytes.empty());
  fixture.configure();
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 200"));
  CHECK(received->has("got:ab"));
}

TEST_CASE("a request isn't held for long without a configuration") {
  EntryFixture fixture(EntryFixture::Configured::Later);
  auto &target = fixture.addTarget("t1", echoBody);
  const auto start = fixture.entry().now();
  // It is held for at most a fifth of the caller's time.
  const auto received =
      fixture.send(requestText("once", "r1", "X-Left: 1000\r\n"));
  REQUIRE(fixture.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 503"));
  CHECK(received->has("Retry-After: "));
  CHECK(fixture.entry().now() - start < 400ms);
  fixture.configure();
  fixture.run(50ms);
  CHECK(target.requestCount() == 0);
}

TEST_CASE("a held request isn't sent if its caller disconnects") {
  EntryFixture fixture(EntryFixture::Configured::Later);
  auto &target = fixture.addTarget("t1", echoBody);
  const auto received =
      fixture.send(requestText("once", "r1", "X-Left: 4000\r\n"));
  fixture.run(50ms);
  fixture.disconnect(received);
  fixture.run(50ms);
  fixture.configure();
  fixture.run(100ms);
  CHECK(target.requestCount() == 0);
}
