#ifndef BERGAMOT_LIBBERGAMOTCONFIG_VERIFIER_H
#define BERGAMOT_LIBBERGAMOTCONFIG_VERIFIER_H

#include <memory>
#include <string_view>

struct evp_pkey_st;

namespace bergamot::config {

/// Verifies signatures with an Ed25519 public key.
class Verifier {
public:
  /// Takes the public key as 64 hexadecimal digits. A key of another form
  /// verifies nothing.
  explicit Verifier(std::string_view publicKey);

  /// Returns whether the signature, 128 lower-case hexadecimal digits, is the
  /// key's signature of the text. Any other form is refused, so that one
  /// signature has one text.
  bool verifies(std::string_view text, std::string_view signature) const;

private:
  std::shared_ptr<evp_pkey_st> Key;
};

} // namespace bergamot::config

#endif
