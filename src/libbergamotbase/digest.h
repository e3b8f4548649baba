#ifndef BERGAMOT_LIBBERGAMOTBASE_DIGEST_H
#define BERGAMOT_LIBBERGAMOTBASE_DIGEST_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

struct XXH64_state_s;

namespace bergamot::base {

/// Returns the xxHash64 digest of the bytes.
std::uint64_t xxHash64(std::string_view bytes, std::uint64_t seed = 0);

/// Computes the xxHash64 digest of a stream incrementally.
class StreamHash {
public:
  StreamHash();
  ~StreamHash();
  StreamHash(const StreamHash &) = delete;
  StreamHash &operator=(const StreamHash &) = delete;

  void add(std::string_view bytes);

  /// Resets the digest to that of an empty stream.
  void reset();
  std::uint64_t value() const;

private:
  XXH64_state_s *State;
};

/// Returns the SHA-256 of the bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// Returns the HMAC-SHA256 of a message as 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view message);

/// Compares two secrets in a time that depends only on their lengths.
bool equalsConstantTime(std::string_view a, std::string_view b);

/// Returns cryptographically secure random bytes. Throws Error if the generator
/// fails.
std::string randomBytes(std::size_t count);

/// Returns the bytes as lower-case hexadecimal digits.
std::string toHex(std::string_view bytes);

/// Decodes hexadecimal digits of either case. Throws Error on other characters
/// or an odd number of digits.
std::string fromHex(std::string_view digits);

} // namespace bergamot::base

#endif
