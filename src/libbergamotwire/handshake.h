#ifndef BERGAMOT_LIBBERGAMOTWIRE_HANDSHAKE_H
#define BERGAMOT_LIBBERGAMOTWIRE_HANDSHAKE_H

#include "libbergamotbase/ids.h"
#include "libbergamotwire/framecodec.h"

#include <string>
#include <vector>

namespace bergamot::wire {

/// Which end of a connection a daemon is.
enum class ConnectionEnd { Initiator, Acceptor };

/// Who a daemon is to its peers.
struct PeerIdentity {
  base::VmId Vm;
  base::Incarnation Incarnation;
};

/// Secrets of the deployment. The first one signs; any of them verifies, so
/// that a secret can be replaced while daemons restart one by one.
using DeploymentSecrets = std::vector<std::string>;

/// Proves to the peer that this daemon belongs to the deployment, and checks
/// the peer's proof. Each end sends a Hello with a fresh nonce, then
/// HMAC-SHA256 over both Hellos and its own end, so that a proof can't be
/// replayed or reflected.
class Handshake {
public:
  /// The nonce must be fresh random bytes of NonceBytes.
  Handshake(DeploymentSecrets secrets, PeerIdentity self, ConnectionEnd end,
            std::string nonce);

  static constexpr std::size_t NonceBytes = 32;

  /// Returns the Hello to send first.
  Envelope hello() const;

  /// Takes the peer's Hello and returns the proof to send. The accepting end
  /// sends its proof only after it verified the initiator's, so that a
  /// stranger learns nothing. Throws Error on a second or malformed Hello.
  Envelope takeHello(const Envelope &message);

  /// Checks the peer's proof. Throws Error if no secret produces it.
  void takeProof(const Envelope &message);

  bool isProven() const { return Proven; }
  ConnectionEnd end() const { return End; }

  /// Returns the peer's identity; proven only if isProven().
  const PeerIdentity &peer() const { return Peer; }

private:
  std::string transcript(ConnectionEnd prover) const;

  DeploymentSecrets Secrets;
  PeerIdentity Self;
  PeerIdentity Peer;
  ConnectionEnd End;
  std::string OwnNonce;
  std::string PeerNonce;
  bool Proven = false;
};

} // namespace bergamot::wire

#endif
