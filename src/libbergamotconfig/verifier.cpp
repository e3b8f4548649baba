#include "libbergamotconfig/verifier.h"

#include "libbergamotbase/digest.h"

#include <openssl/evp.h>

#include <algorithm>
#include <string>

namespace bergamot::config {

namespace {

constexpr std::size_t KeyHexDigits = 64;
constexpr std::size_t SignatureHexDigits = 128;

const unsigned char *asBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char *>(text.data());
}

bool isHex(std::string_view text, std::size_t length) {
  return text.size() == length &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

} // namespace

Verifier::Verifier(std::string_view publicKey) {
  if (!isHex(publicKey, KeyHexDigits))
    return;
  const std::string bytes = base::fromHex(publicKey);
  Key.reset(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr,
                                        asBytes(bytes), bytes.size()),
            EVP_PKEY_free);
}

bool Verifier::verifies(std::string_view text,
                        std::string_view signature) const {
  if (!Key || !isHex(signature, SignatureHexDigits))
    return false;
  const std::string bytes = base::fromHex(signature);
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), EVP_MD_CTX_free);
  return context &&
         EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr,
                              Key.get()) == 1 &&
         EVP_DigestVerify(context.get(), asBytes(bytes), bytes.size(),
                          asBytes(text), text.size()) == 1;
}

} // namespace bergamot::config
