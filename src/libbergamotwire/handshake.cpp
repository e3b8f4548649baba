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

/// Encodes nonce and identity for the MAC. Length prefixes make the encoding
/// unambiguous.
std::string encodeIdentity(const PeerIdentity &id, const std::string &nonce) {
  return std::to_string(nonce.size()) + ":" + nonce +
         std::to_string(id.Vm.Value.size()) + ":" + id.Vm.Value +
         std::to_string(id.Incarnation.Value) + ";";
}

} // namespace

Handshake::Handshake(DeploymentSecrets secrets, PeerIdentity self,
                     ConnectionRole role, std::string nonce)
    : Secrets(std::move(secrets)), Self(std::move(self)), Role(role),
      OwnNonce(std::move(nonce)) {}

Envelope Handshake::hello() const {
  fb::HelloT hello;
  hello.nonce = toBytes(OwnNonce);
  hello.vm = Self.Vm.Value;
  hello.incarnation = Self.Incarnation.Value;
  hello.protocol = ProtocolVersion;
  return makeEnvelope(std::move(hello));
}

Envelope Handshake::processHello(const Envelope &message) {
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
  proof.mac = toBytes(base::hmacSha256(Secrets.front(), transcript(Role)));
  return makeEnvelope(std::move(proof));
}

void Handshake::verifyProof(const Envelope &message) {
  const auto *proof = payloadAs<fb::HelloProofT>(message);
  if (proof == nullptr || PeerNonce.empty() || IsAuthenticated)
    throw Error(Step::Connect, Peer.Vm.Value,
                "unexpected message in handshake");
  const auto prover = Role == ConnectionRole::Initiator
                          ? ConnectionRole::Acceptor
                          : ConnectionRole::Initiator;
  const std::string expected = transcript(prover);
  for (const auto &secret : Secrets)
    if (base::equalsConstantTime(base::hmacSha256(secret, expected),
                                 toText(proof->mac)))
      IsAuthenticated = true;
  if (!IsAuthenticated)
    throw Error(Step::Connect, Peer.Vm.Value, "peer's proof is wrong");
}

std::string Handshake::transcript(ConnectionRole prover) const {
  const bool isInitiator = Role == ConnectionRole::Initiator;
  const std::string local = encodeIdentity(Self, OwnNonce);
  const std::string remote = encodeIdentity(Peer, PeerNonce);
  return std::string(prover == ConnectionRole::Initiator ? "I" : "A") +
         (isInitiator ? local + remote : remote + local);
}

} // namespace bergamot::wire
