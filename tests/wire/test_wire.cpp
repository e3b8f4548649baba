#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"
#include "libbergamotwire/framecodec.h"
#include "libbergamotwire/handshake.h"
#include "libbergamotwire/heartbeat.h"

#include <catch2/catch.hpp>

#include <random>

using namespace bergamot;
using namespace bergamot::wire;

namespace {

Envelope sampleChunk(std::size_t size) {
  fb::ChunkT chunk;
  chunk.offset = 7;
  chunk.bytes.assign(size, 'x');
  auto message = makeEnvelope(std::move(chunk));
  message.request = "r1";
  message.attempt = 2;
  return message;
}

struct HandshakePair {
  Handshake First;
  Handshake Second;
};

HandshakePair makePair(DeploymentSecrets first, DeploymentSecrets second) {
  return {Handshake(std::move(first), {{"a"}, {1}}, ConnectionEnd::Initiator,
                    std::string(32, 'p')),
          Handshake(std::move(second), {{"b"}, {2}}, ConnectionEnd::Acceptor,
                    std::string(32, 'q'))};
}

} // namespace

// Guards against frames that are lost or merged at packet boundaries.
TEST_CASE("frames survive any split of the byte stream", "[frame]") {
  std::mt19937_64 rng(42);
  std::string stream;
  for (std::size_t i = 0; i < 50; ++i)
    stream += encodeFrame(sampleChunk(i * 37));
  FrameDecoder decoder;
  std::size_t count = 0;
  for (std::size_t i = 0; i < stream.size();) {
    const std::size_t n =
        std::min<std::size_t>(rng() % 97 + 1, stream.size() - i);
    decoder.addBytes(std::string_view(stream).substr(i, n));
    i += n;
    while (const auto body = decoder.nextFrame()) {
      const auto message = decodeFrame(*body);
      const auto *chunk = payloadAs<fb::ChunkT>(message);
      REQUIRE(chunk != nullptr);
      CHECK(chunk->bytes.size() == count * 37);
      CHECK(message.request == "r1");
      ++count;
    }
  }
  CHECK(count == 50);
}

// Guards against a stranger who makes a daemon allocate or read without bound.
TEST_CASE("bad frames are refused", "[frame]") {
  FrameDecoder decoder(MaxUnprovenBytes);
  decoder.addBytes(std::string("\xff\xff\xff\x7f", 4));
  CHECK_THROWS_AS(decoder.nextFrame(), base::Error);
  FrameDecoder zero;
  zero.addBytes(std::string(4, '\0'));
  CHECK_THROWS_AS(zero.nextFrame(), base::Error);
  CHECK_THROWS_AS(encodeFrame(sampleChunk(MaxFrameBytes + 1)), base::Error);
}

// Guards against crashes on bytes that a peer sent damaged. With the address
// sanitizer this also finds reads out of bounds.
TEST_CASE("damaged messages are refused or decoded, never read past their end",
          "[frame]") {
  std::mt19937_64 rng(7);
  const std::string good = encodeFrame(sampleChunk(200)).substr(4);
  int refused = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string body = good;
    for (int n = 0; n < 3; ++n)
      body[rng() % body.size()] = static_cast<char>(rng());
    body.resize(body.size() - rng() % 40);
    try {
      decodeFrame(body);
    } catch (const base::Error &) {
      ++refused;
    }
  }
  CHECK(refused > 1000);
}

// Guards against a handshake that a holder of neither secret can pass.
TEST_CASE("only daemons that share a secret prove themselves", "[handshake]") {
  auto good = makePair({"new", "old"}, {"old"});
  const auto proof = good.Second.takeHello(good.First.hello());
  const auto firstProof = good.First.takeHello(good.Second.hello());
  good.First.takeProof(proof);
  CHECK(good.First.isProven());
  CHECK(good.First.peer().Vm.Value == "b");
  // The second end doesn't know the new secret yet.
  CHECK_THROWS_AS(good.Second.takeProof(firstProof), base::Error);

  auto rotated = makePair({"new", "old"}, {"old", "new"});
  const auto p2 = rotated.Second.takeHello(rotated.First.hello());
  const auto p1 = rotated.First.takeHello(rotated.Second.hello());
  CHECK_NOTHROW(rotated.First.takeProof(p2));
  CHECK_NOTHROW(rotated.Second.takeProof(p1));
}

// Guards against a proof sent back to the daemon that made it.
TEST_CASE("a reflected proof is refused", "[handshake]") {
  auto pair = makePair({"s"}, {"s"});
  pair.Second.takeHello(pair.First.hello());
  const auto own = pair.First.takeHello(pair.Second.hello());
  CHECK_THROWS_AS(pair.First.takeProof(own), base::Error);
}

// Guards against a connection that sends but no longer receives and would be
// kept for ever.
TEST_CASE("sent heartbeats don't keep a silent connection alive",
          "[heartbeat]") {
  using namespace std::chrono_literals;
  const base::TimePoint start{};
  HeartbeatMonitor monitor({500ms, 1500ms}, start);
  CHECK(monitor.isSendDue(start + 500ms));
  monitor.heartbeatSent(start + 500ms);
  CHECK_FALSE(monitor.isSendDue(start + 900ms));
  CHECK(monitor.isDead(start + 1500ms));
  monitor.frameReceived(start + 1400ms);
  CHECK_FALSE(monitor.isDead(start + 2800ms));
}
