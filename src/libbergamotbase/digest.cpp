#include "libbergamotbase/digest.h"

#include "libbergamotbase/error.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace bergamot::base {

namespace {

const unsigned char *asBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char *>(text.data());
}

int hexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  throw Error(Step::Parse, "", "invalid hexadecimal digit");
}

} // namespace

std::uint64_t xxHash64(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

StreamHash::StreamHash() : State(XXH64_createState()) { XXH64_reset(State, 0); }

StreamHash::~StreamHash() { XXH64_freeState(State); }

void StreamHash::add(std::string_view bytes) {
  XXH64_update(State, bytes.data(), bytes.size());
}

void StreamHash::reset() { XXH64_reset(State, 0); }

std::uint64_t StreamHash::value() const { return XXH64_digest(State); }

std::string sha256Hex(std::string_view bytes) {
  unsigned char out[SHA256_DIGEST_LENGTH];
  SHA256(asBytes(bytes), bytes.size(), out);
  return toHex({reinterpret_cast<const char *>(out), sizeof(out)});
}

std::string hmacSha256(std::string_view key, std::string_view message) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), asBytes(message),
       message.size(), out, &n);
  return {reinterpret_cast<const char *>(out), n};
}

bool equalsConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomBytes(std::size_t count) {
  std::string buf(count, '\0');
  auto *data = reinterpret_cast<unsigned char *>(buf.data());
  if (RAND_bytes(data, static_cast<int>(count)) != 1)
    throw Error(Step::Settings, "", "the random number generator failed");
  return buf;
}

std::string toHex(std::string_view bytes) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const unsigned char c : bytes) {
    text.push_back(Digits[c >> 4]);
    text.push_back(Digits[c & 15]);
  }
  return text;
}

std::string fromHex(std::string_view digits) {
  if (digits.size() % 2 != 0)
    throw Error(Step::Parse, "", "odd number of hexadecimal digits");
  std::string bytes;
  bytes.reserve(digits.size() / 2);
  for (std::size_t i = 0; i < digits.size(); i += 2)
    bytes.push_back(
        static_cast<char>(hexValue(digits[i]) * 16 + hexValue(digits[i + 1])));
  return bytes;
}

} // namespace bergamot::base
