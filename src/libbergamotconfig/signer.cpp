#include "libbergamotconfig/signer.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"

#include <openssl/evp.h>

namespace bergamot::config {

namespace {

constexpr std::size_t SeedBytes = 32;
constexpr std::size_t SignatureBytes = 64;

const unsigned char *asBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char *>(text.data());
}

base::Error signError(const char *message) {
  return {base::Step::Authenticate, "", message};
}

} // namespace

Signer::Signer(std::string_view seed) {
  if (seed.size() != SeedBytes)
    throw signError("an Ed25519 private key has 32 bytes");
  Key.reset(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr,
                                         asBytes(seed), seed.size()),
            EVP_PKEY_free);
  if (!Key)
    throw signError("the Ed25519 private key can't be used");
}

std::string Signer::sign(std::string_view text) const {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), EVP_MD_CTX_free);
  std::string signature(SignatureBytes, '\0');
  std::size_t n = signature.size();
  if (!context ||
      EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, Key.get()) !=
          1 ||
      EVP_DigestSign(context.get(),
                     reinterpret_cast<unsigned char *>(signature.data()), &n,
                     asBytes(text), text.size()) != 1)
    throw signError("signing failed");
  return base::toHex(signature);
}

std::string Signer::publicKey() const {
  std::string key(SeedBytes, '\0');
  std::size_t n = key.size();
  if (EVP_PKEY_get_raw_public_key(
          Key.get(), reinterpret_cast<unsigned char *>(key.data()), &n) != 1)
    throw signError("the public key can't be derived");
  return base::toHex(key);
}

} // namespace bergamot::config
