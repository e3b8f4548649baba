// Requests that arrive before the entry has read its first configuration.
#include "testpath.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;

namespace {

void answer(const adaptertcp::RequestHead &head, const std::string &body,
            const TestTarget::Connection &connection) {
  connection->send(signedResponse(head, "got:" + body));
}

} // namespace

TEST_CASE("a request waits for the first configuration of a new process") {
  // Load pattern: all entries are killed at once, and callers' next tries come
  // while the configuration is being read.
  TestPath path(TestPath::Configured::Later);
  path.addTarget("t1", answer);
  const auto received =
      path.send(requestText("once", "r1", "X-Left: 4000\r\n"));
  path.run(100ms);
  CHECK(received->Bytes.empty());
  path.configure();
  REQUIRE(path.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 200"));
  CHECK(received->has("got:ab"));
}

TEST_CASE("a request isn't held for long without a configuration") {
  TestPath path(TestPath::Configured::Later);
  auto &target = path.addTarget("t1", answer);
  const auto start = path.entry().now();
  // A fifth of the caller's time.
  const auto received =
      path.send(requestText("once", "r1", "X-Left: 1000\r\n"));
  REQUIRE(path.runUntil([&] { return received->has("HTTP/1.1 "); }));
  CHECK(received->has("HTTP/1.1 503"));
  CHECK(received->has("Retry-After: "));
  CHECK(path.entry().now() - start < 400ms);
  path.configure();
  path.run(50ms);
  CHECK(target.requestCount() == 0);
}

TEST_CASE("a caller that leaves while its request is held isn't served") {
  TestPath path(TestPath::Configured::Later);
  auto &target = path.addTarget("t1", answer);
  const auto received =
      path.send(requestText("once", "r1", "X-Left: 4000\r\n"));
  path.run(50ms);
  path.hangUp(received);
  path.run(50ms);
  path.configure();
  path.run(100ms);
  CHECK(target.requestCount() == 0);
}
