#include "libbergamotrouting/streambuffer.h"
#include "routinghelpers.h"

#include <algorithm>

using namespace bergamot::routing;
using namespace bergamot::routing::testing;
using bergamot::base::xxHash64;

namespace {

constexpr auto StallTime = std::chrono::milliseconds(100);

std::string randomBytes(std::mt19937_64 &random, std::size_t count) {
  std::string bytes(count, '\0');
  for (auto &c : bytes)
    c = static_cast<char>('a' + randomBelow(random, 26));
  return bytes;
}

constexpr std::uint64_t OtherSeed = 99;

StreamResult add(StreamBuffer &buffer, std::uint64_t offset,
                 std::string_view bytes, std::uint64_t seed = 0) {
  return buffer.addChunk(offset, bytes, chunkHash(seed, offset, bytes));
}

// Corrupts a chunk in transit or parks the stream.
void injectFault(std::mt19937_64 &random, const std::string &response,
                 const std::string &otherResponse, std::uint64_t &offset,
                 std::string &chunk, std::uint64_t &seed,
                 StreamBuffer &buffer) {
  switch (randomBelow(random, 5)) {
  case 0: // Lost.
    chunk.clear();
    break;
  case 1: // Replaced by a chunk of another stream.
    chunk = otherResponse.substr(offset, chunk.size());
    seed = OtherSeed;
    break;
  case 2: // Sent again from an earlier offset.
    offset -= std::min<std::uint64_t>(offset, randomBelow(random, 5000));
    chunk = response.substr(offset, chunk.size());
    break;
  case 3: // Truncated.
    chunk.resize(chunk.size() / 2);
    break;
  default:
    buffer.park();
    break;
  }
}

} // namespace

// Guards against corruption of a response by the network or a faulty target:
// whatever happens, a complete response equals the original.
TEST_CASE("a corrupted response is never complete", "[stream][differential]") {
  std::size_t complete = 0;
  forEachSeed([&](std::mt19937_64 &random) {
    BufferBudget budget(std::size_t{1} << 20, StallTime);
    const std::string response =
        randomBytes(random, 1 + randomBelow(random, 90000));
    const std::string otherResponse = randomBytes(random, 100000);
    const bool resumable = randomBelow(random, 2) == 0;
    StreamBuffer buffer(StreamId{1}, resumable, budget, atMs(0));
    if (randomBelow(random, 2) == 0)
      buffer.setExpectedLength(response.size());
    const std::uint64_t faultRate = randomBelow(random, 3) * 3;
    std::string received;
    std::uint64_t sent = 0;
    std::uint64_t window = 0;
    std::uint64_t resumedAt = 0;
    for (int step = 0; step < 400 && !buffer.isComplete(); ++step) {
      if (const auto end = buffer.extendWindow())
        window = *end;
      std::string chunk = response.substr(
          sent, std::min<std::uint64_t>(1 + randomBelow(random, 9000),
                                        window - sent));
      std::uint64_t offset = sent;
      std::uint64_t seed = 0;
      sent += chunk.size();
      if (randomBelow(random, 100) < faultRate)
        injectFault(random, response, otherResponse, offset, chunk, seed,
                    buffer);
      if (!chunk.empty())
        add(buffer, offset, chunk, seed);
      if (sent == response.size())
        buffer.setEnd(response.size(), xxHash64(response.substr(resumedAt)));
      if (const auto at = buffer.resume())
        sent = window = resumedAt = *at;
      received += buffer.take(randomBelow(random, 12000), atMs(step));
      REQUIRE(buffer.buffered() <= StreamWindowBytes);
      REQUIRE(budget.used() <= StreamWindowBytes);
    }
    if (buffer.isComplete()) {
      ++complete;
      REQUIRE(received == response);
    }
    if (faultRate == 0)
      REQUIRE(buffer.isComplete());
  });
  CHECK(complete > SeedCount / 3);
}

// Guards against delivering a response with an announced length in full before
// it is verified.
TEST_CASE("the last byte is held back until the end is verified", "[stream]") {
  BufferBudget budget(1 << 20, StallTime);
  StreamBuffer buffer(StreamId{1}, false, budget, atMs(0));
  buffer.setExpectedLength(4);
  CHECK(buffer.extendWindow() == 4);
  add(buffer, 0, "abcd");
  CHECK(buffer.take(10, atMs(1)) == "abc");
  CHECK(buffer.setEnd(4, xxHash64("abcx")) == StreamResult::HashMismatch);
  CHECK(buffer.take(10, atMs(1)).empty());
  CHECK_FALSE(buffer.isComplete());
  StreamBuffer truncated(StreamId{2}, false, budget, atMs(0));
  truncated.extendWindow();
  add(truncated, 0, "ab");
  CHECK(truncated.setEnd(4, xxHash64("abcd")) == StreamResult::LengthMismatch);
  CHECK(add(truncated, 2, "cd") == StreamResult::LengthMismatch);
}

// Guards against stalled readers that use up the memory of other streams.
TEST_CASE("stalled resumable streams are parked, others wait", "[stream]") {
  BufferBudget budget(2 * StreamWindowBytes, StallTime);
  const std::string bytes(StreamWindowBytes, 'x');
  StreamBuffer stalled(StreamId{1}, true, budget, atMs(0));
  StreamBuffer plain(StreamId{2}, false, budget, atMs(0));
  StreamBuffer waiting(StreamId{3}, true, budget, atMs(50));
  stalled.extendWindow();
  plain.extendWindow();
  CHECK(add(stalled, 0, bytes) == StreamResult::Accepted);
  CHECK(stalled.setEnd(bytes.size(), xxHash64(bytes)) ==
        StreamResult::Accepted);
  CHECK(stalled.take(100, atMs(60)).size() == 100);
  CHECK(waiting.extendWindow() == 100);
  CHECK_FALSE(budget.parkCandidate(atMs(90)));
  CHECK(budget.parkCandidate(atMs(150)) == StreamId{3});
  waiting.take(1, atMs(151));
  CHECK(add(waiting, 0, "y") == StreamResult::Accepted);
  CHECK(waiting.take(1, atMs(155)) == "y");
  CHECK(budget.parkCandidate(atMs(160)) == StreamId{1});
  CHECK_FALSE(plain.park());
  CHECK(stalled.park());
  CHECK(add(stalled, bytes.size(), "late") == StreamResult::Ignored);
  CHECK(waiting.extendWindow() == StreamWindowBytes + 1);
  // The undelivered bytes were verified before they were discarded and are
  // verified again.
  CHECK(stalled.resume() == 100);
  CHECK_FALSE(stalled.isComplete());
  CHECK_FALSE(stalled.extendWindow());
  CHECK(add(plain, StreamWindowBytes, "z") == StreamResult::Gap);
  CHECK_FALSE(plain.resume());
  CHECK(budget.used() <= budget.capacity());
}

// Guards against a target that ignores the window.
TEST_CASE("bytes beyond the window are a fault", "[stream]") {
  BufferBudget budget(10, StallTime);
  StreamBuffer buffer(StreamId{1}, true, budget, atMs(0));
  CHECK(buffer.extendWindow() == 10);
  CHECK(add(buffer, 0, "12345678901") == StreamResult::WindowExceeded);
  CHECK_FALSE(buffer.park());
}
