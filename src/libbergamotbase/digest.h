#ifndef BERGAMOT_LIBBERGAMOTBASE_DIGEST_H
#define BERGAMOT_LIBBERGAMOTBASE_DIGEST_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

struct XXH64_state_s;

namespace bergamot::base {

/// Returns the xxHash64 of the bytes.
std::uint64_t xxHash64(std::string_view bytes, std::uint64_t seed = 0);

/// Computes the xxHash64 of bytes that arrive in pieces.
class StreamHash {
public:
  StreamHash();
  ~StreamHash();
  StreamHash(const StreamHash &) = delete;
  StreamHash &operator=(const StreamHash &) = delete;

  void add(std::string_view bytes);

  /// Starts again as if no bytes had been added.
  void reset();
  std::uint64_t value() const;

private:
  XXH64_state_s *State;
};

/// Returns the SHA-256 of the bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// Returns the 32 bytes of HMAC-SHA256 of a message.
std::string hmacSha256(std::string_view key, std::string_view message);

/// Compares two secrets in time that depends on their lengths only.
bool equalsConstantTime(std::string_view a, std::string_view b);

/// Returns random bytes from the system's generator. Throws Error if the
/// generator fails.
std::string randomBytes(std::size_t count);

/// Returns the bytes as lower-case hexadecimal digits.
std::string toHex(std::string_view bytes);

/// Returns the bytes of hexadecimal digits. Throws Error on other characters
/// or an odd count.
std::string fromHex(std::string_view digits);

} // namespace bergamot::base

#endif
