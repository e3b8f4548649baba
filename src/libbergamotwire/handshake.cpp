#include "libbergamotwire/handshake.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"

#include <utility>

namespace bergamot::wire {

using base::Error;
using base::Step;

namespace {

constexpr std::uint32_t ProtocolVersion = 1;

std::string toText(const std::vector<std::uint8_t> &bytes) {
  return {bytes.begin(), bytes.end()};
}

std::vector<std::uint8_t> toBytes(const std::string &text) {
  return {text.begin(), text.end()};
}

/// Length prefixes keep two different identities from giving one text.
std::string describe(const PeerIdentity &id, const std::string &nonce) {
  return std::to_string(nonce.size()) + ":" + nonce +
         std::to_string(id.Vm.Value.size()) + ":" + id.Vm.Value +
         std::to_string(id.Incarnation.Value) + ";";
}

} // namespace

Handshake::Handshake(DeploymentSecrets secrets, PeerIdentity self,
                     ConnectionEnd end, std::string nonce)
    : Secrets(std::move(secrets)), Self(std::move(self)), End(end),
      OwnNonce(std::move(nonce)) {}

Envelope Handshake::hello() const {
  fb::HelloT hello;
  hello.nonce = toBytes(OwnNonce);
  hello.vm = Self.Vm.Value;
  hello.incarnation = Self.Incarnation.Value;
  hello.protocol = ProtocolVersion;
  return makeEnvelope(std::move(hello));
}

Envelope Handshake::takeHello(const Envelope &message) {
  const auto *hello = payloadAs<fb::HelloT>(message);
  if (hello == nullptr || !PeerNonce.empty())
    throw Error(Step::Connect, "", "expected one Hello");
  if (hello->protocol != ProtocolVersion)
    throw Error(Step::Connect, hello->vm, "unsupported protocol version");
  if (hello->nonce.size() != NonceBytes)
    throw Error(Step::Connect, hello->vm, "malformed nonce");
  PeerNonce = toText(hello->nonce);
  Peer = {base::VmId{hello->vm}, base::Incarnation{hello->incarnation}};
  fb::HelloProofT proof;
  proof.mac = toBytes(base::hmacSha256(Secrets.front(), transcript(End)));
  return makeEnvelope(std::move(proof));
}

void Handshake::takeProof(const Envelope &message) {
  const auto *proof = payloadAs<fb::HelloProofT>(message);
  if (proof == nullptr || PeerNonce.empty() || Proven)
    throw Error(Step::Connect, Peer.Vm.Value,
                "unexpected message in handshake");
  const auto prover = End == ConnectionEnd::Initiator
                          ? ConnectionEnd::Acceptor
                          : ConnectionEnd::Initiator;
  const std::string expected = transcript(prover);
  for (const auto &secret : Secrets)
    if (base::equalsConstantTime(base::hmacSha256(secret, expected),
                                 toText(proof->mac)))
      Proven = true;
  if (!Proven)
    throw Error(Step::Connect, Peer.Vm.Value, "peer's proof is wrong");
}

std::string Handshake::transcript(ConnectionEnd prover) const {
  const bool isInitiator = End == ConnectionEnd::Initiator;
  const std::string own = describe(Self, OwnNonce);
  const std::string other = describe(Peer, PeerNonce);
  return std::string(prover == ConnectionEnd::Initiator ? "I" : "A") +
         (isInitiator ? own + other : other + own);
}

} // namespace bergamot::wire
