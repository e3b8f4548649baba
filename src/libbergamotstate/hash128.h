#ifndef BERGAMOT_LIBBERGAMOTSTATE_HASH128_H
#define BERGAMOT_LIBBERGAMOTSTATE_HASH128_H

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bergamot::state {

/// The first 128 bits of a SHA-256 hash. A client can't construct two requests
/// with the same value, as it could with a fast non-cryptographic hash.
struct Hash128 {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const Hash128 &) const = default;
};

/// Computes the hash of the bytes.
Hash128 hash128(std::string_view bytes);

/// Formats the hash as 32 lower-case hexadecimal digits.
std::string toText(const Hash128 &hash);

/// Parses 32 hexadecimal digits. Returns nullopt for other text.
std::optional<Hash128> parseHash128(std::string_view text);

} // namespace bergamot::state

template <> struct std::hash<bergamot::state::Hash128> {
  std::size_t operator()(const bergamot::state::Hash128 &value) const {
    return value.Low;
  }
};

#endif
