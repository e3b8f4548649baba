#include "bergamotd/answermemory.h"
#include "bergamotd/answerstream.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::bergamotd;
using namespace std::chrono_literals;

namespace fb = wire::fb;

namespace {

constexpr std::size_t MemoryBytes = std::size_t{1} << 20;
const base::RequestId Request{"request"};

wire::Envelope headMessage(std::uint16_t status = 200) {
  fb::HeadT head;
  head.status = status;
  return wire::makeEnvelope(std::move(head));
}

wire::Envelope chunkMessage(std::string_view bytes) {
  fb::ChunkT chunk;
  chunk.offset = 0;
  chunk.bytes.assign(bytes.begin(), bytes.end());
  chunk.hash = routing::chunkHash(base::xxHash64(Request.Value), 0, bytes);
  return wire::makeEnvelope(std::move(chunk));
}

/// Returns the event after the head and the first bytes of a body if the target
/// then sends Park.
AnswerEvent eventAfterPark(AnswerStream &stream) {
  stream.startAttempt();
  REQUIRE(stream.takeWindow());
  stream.addMessage(headMessage());
  stream.addMessage(chunkMessage("begun"));
  const auto deadline = std::chrono::steady_clock::now() + 1s;
  const auto head = stream.nextEvent(false, deadline);
  REQUIRE(head);
  REQUIRE(std::holds_alternative<AnswerHead>(*head));
  const auto bytes = stream.nextEvent(false, deadline);
  REQUIRE(bytes);
  REQUIRE(std::holds_alternative<AnswerBytes>(*bytes));
  stream.addMessage(wire::makeEnvelope(fb::ParkT()));
  const auto event = stream.nextEvent(false, deadline);
  REQUIRE(event);
  return *event;
}

} // namespace

// The call was repeated from its start behind the bytes that the caller had.
TEST_CASE("a target can't park a stream that can't be resumed") {
  AnswerMemory memory(MemoryBytes, 1s);
  AnswerStream stream(memory, Request, false);
  const AnswerEvent event = eventAfterPark(stream);
  const auto *failed = std::get_if<AttemptFailed>(&event);
  REQUIRE(failed != nullptr);
  CHECK(failed->ExecutedState == Executed::Unknown);
}

TEST_CASE("a parked stream that can be resumed continues where it ended") {
  AnswerMemory memory(MemoryBytes, 1s);
  AnswerStream stream(memory, Request, true);
  CHECK(std::holds_alternative<AnswerParked>(eventAfterPark(stream)));
  CHECK(stream.startAttempt() == std::string_view("begun").size());
}

// A sidecar of an older version passes on what its back end sends.
TEST_CASE("a head from a sidecar needs a final status") {
  const std::uint16_t status = GENERATE(0, 99, 100, 101, 199, 600, 999);
  CAPTURE(status);
  AnswerMemory memory(MemoryBytes, 1s);
  AnswerStream stream(memory, Request, false);
  stream.startAttempt();
  stream.addMessage(headMessage(status));
  const auto event =
      stream.nextEvent(false, std::chrono::steady_clock::now() + 1s);
  REQUIRE(event);
  const auto *failed = std::get_if<AttemptFailed>(&*event);
  REQUIRE(failed != nullptr);
  CHECK(failed->ExecutedState == Executed::Unknown);
}
