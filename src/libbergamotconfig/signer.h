#ifndef BERGAMOT_LIBBERGAMOTCONFIG_SIGNER_H
#define BERGAMOT_LIBBERGAMOTCONFIG_SIGNER_H

#include <memory>
#include <string>
#include <string_view>

struct evp_pkey_st;

namespace bergamot::config {

/// Signs texts with an Ed25519 private key.
class Signer {
public:
  /// Takes the 32 bytes of the private key (the seed of RFC 8032). Throws
  /// Error (step authenticate) on another length.
  explicit Signer(std::string_view seed);

  /// Returns the signature as 128 hexadecimal digits.
  std::string sign(std::string_view text) const;

  /// Returns the public key as 64 hexadecimal digits.
  std::string publicKey() const;

private:
  std::shared_ptr<evp_pkey_st> Key;
};

} // namespace bergamot::config

#endif
