#ifndef BERGAMOT_LIBBERGAMOTWIRE_HANDSHAKE_H
#define BERGAMOT_LIBBERGAMOTWIRE_HANDSHAKE_H

#include "libbergamotbase/ids.h"
#include "libbergamotwire/framecodec.h"

#include <string>
#include <vector>

namespace bergamot::wire {

/// Role of a daemon on a connection: whether it opened or accepted it.
enum class ConnectionRole { Initiator, Acceptor };

/// Identity of a daemon in the handshake.
struct PeerIdentity {
  base::VmId Vm;
  base::Incarnation Incarnation;
};

/// Shared secrets of the deployment. The first one computes MACs, all of them
/// are accepted in verification, so that a secret can be rotated in a rolling
/// restart.
using DeploymentSecrets = std::vector<std::string>;

/// Mutual authentication of two daemons of a deployment. Each side sends a
/// Hello with a fresh nonce, then a proof: HMAC-SHA256 over the nonces and
/// identities of both Hellos and its own role, so that a proof can't be
/// replayed or reflected.
class Handshake {
public:
  /// The nonce must consist of NonceBytes fresh random bytes.
  Handshake(DeploymentSecrets secrets, PeerIdentity self, ConnectionRole role,
            std::string nonce);

  static constexpr std::size_t NonceBytes = 32;

  /// Returns the Hello, which is sent first.
  Envelope hello() const;

  /// Processes the peer's Hello and returns the proof to send. The acceptor
  /// must not send its proof before it has verified the initiator's, so that
  /// an unauthenticated peer never receives a MAC. Throws Error on a second or
  /// malformed Hello.
  Envelope processHello(const Envelope &message);

  /// Verifies the peer's proof. Throws Error if it matches none of the secrets.
  void verifyProof(const Envelope &message);

  bool isAuthenticated() const { return IsAuthenticated; }
  ConnectionRole role() const { return Role; }

  /// Returns the peer's identity, which is verified only if isAuthenticated().
  const PeerIdentity &peer() const { return Peer; }

private:
  std::string transcript(ConnectionRole prover) const;

  DeploymentSecrets Secrets;
  PeerIdentity Self;
  PeerIdentity Peer;
  ConnectionRole Role;
  std::string OwnNonce;
  std::string PeerNonce;
  bool IsAuthenticated = false;
};

} // namespace bergamot::wire

#endif
