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
  Handshake InitiatorHandshake;
  Handshake AcceptorHandshake;
};

HandshakePair makePair(DeploymentSecrets initiatorSecrets,
                       DeploymentSecrets acceptorSecrets) {
  return {Handshake(std::move(initiatorSecrets), {{"a"}, {1}},
                    ConnectionRole::Initiator, std::string(32, 'p')),
          Handshake(std::move(acceptorSecrets), {{"b"}, {2}},
                    ConnectionRole::Acceptor, std::string(32, 'q'))};
}

} // namespace

// Guards against frames that are lost or merged when reads split the stream at
// arbitrary positions.
TEST_CASE("frames are decoded from a byte stream split at any position",
          "[frame]") {
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

// Guards against unbounded allocations and reads that an unauthenticated peer
// could cause with an invalid frame length.
TEST_CASE("frames of invalid length are rejected", "[frame]") {
  FrameDecoder decoder(MaxUnauthenticatedBytes);
  decoder.addBytes(std::string("\xff\xff\xff\x7f", 4));
  CHECK_THROWS_AS(decoder.nextFrame(), base::Error);
  FrameDecoder zeroLength;
  zeroLength.addBytes(std::string(4, '\0'));
  CHECK_THROWS_AS(zeroLength.nextFrame(), base::Error);
  CHECK_THROWS_AS(encodeFrame(sampleChunk(MaxFrameBytes + 1)), base::Error);
}

// Guards against crashes on corrupted messages from a peer. With
// AddressSanitizer, it also detects out-of-bounds reads.
TEST_CASE(
    "corrupted messages are rejected or decoded without out-of-bounds reads",
    "[frame]") {
  std::mt19937_64 rng(7);
  const std::string good = encodeFrame(sampleChunk(200)).substr(4);
  int rejected = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string body = good;
    for (int n = 0; n < 3; ++n)
      body[rng() % body.size()] = static_cast<char>(rng());
    body.resize(body.size() - rng() % 40);
    try {
      decodeFrame(body);
    } catch (const base::Error &) {
      ++rejected;
    }
  }
  CHECK(rejected > 1000);
}

// Guards against a handshake that succeeds without a valid secret, and against
// one that fails during secret rotation.
TEST_CASE("only daemons with a shared secret authenticate", "[handshake]") {
  auto good = makePair({"new", "old"}, {"old"});
  const auto acceptorProof =
      good.AcceptorHandshake.processHello(good.InitiatorHandshake.hello());
  const auto initiatorProof =
      good.InitiatorHandshake.processHello(good.AcceptorHandshake.hello());
  good.InitiatorHandshake.verifyProof(acceptorProof);
  CHECK(good.InitiatorHandshake.isAuthenticated());
  CHECK(good.InitiatorHandshake.peer().Vm.Value == "b");
  // The acceptor doesn't know the new secret yet.
  CHECK_THROWS_AS(good.AcceptorHandshake.verifyProof(initiatorProof),
                  base::Error);

  auto rotated = makePair({"new", "old"}, {"old", "new"});
  const auto rotatedAcceptorProof = rotated.AcceptorHandshake.processHello(
      rotated.InitiatorHandshake.hello());
  const auto rotatedInitiatorProof = rotated.InitiatorHandshake.processHello(
      rotated.AcceptorHandshake.hello());
  CHECK_NOTHROW(rotated.InitiatorHandshake.verifyProof(rotatedAcceptorProof));
  CHECK_NOTHROW(rotated.AcceptorHandshake.verifyProof(rotatedInitiatorProof));
}

// Guards against accepting a proof that is sent back to its own sender.
TEST_CASE("a reflected proof is rejected", "[handshake]") {
  auto pair = makePair({"s"}, {"s"});
  pair.AcceptorHandshake.processHello(pair.InitiatorHandshake.hello());
  const auto ownProof =
      pair.InitiatorHandshake.processHello(pair.AcceptorHandshake.hello());
  CHECK_THROWS_AS(pair.InitiatorHandshake.verifyProof(ownProof), base::Error);
}

// Guards against keeping a connection open forever that sends but no longer
// receives.
TEST_CASE("sent heartbeats don't postpone the receive timeout", "[heartbeat]") {
  using namespace std::chrono_literals;
  const base::TimePoint start{};
  HeartbeatMonitor monitor({500ms, 1500ms}, start);
  CHECK(monitor.isSendDue(start + 500ms));
  monitor.heartbeatSent(start + 500ms);
  CHECK_FALSE(monitor.isSendDue(start + 900ms));
  CHECK(monitor.isTimedOut(start + 1500ms));
  monitor.dataReceived(start + 1400ms);
  CHECK_FALSE(monitor.isTimedOut(start + 2800ms));
}
