// Callers that send without end, or that never read what they are sent.
#include "entryfixture.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;

namespace {

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
  auto &target =
      fixture.addTarget("t1", [&](const auto &head, const auto &,
                                  const auto &connection) {
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
