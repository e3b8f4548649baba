#include "libbergamotstate/hash128.h"

#include "libbergamotbase/digest.h"

#include <charconv>
#include <cstdio>

namespace bergamot::state {

namespace {

constexpr std::size_t HalfDigits = 16;

bool parseHalf(std::string_view text, std::uint64_t &value) {
  const char *end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value, 16);
  return ec == std::errc() && stop == end;
}

} // namespace

Hash128 hash128(std::string_view bytes) {
  const std::string digits = base::sha256Hex(bytes);
  return parseHash128(std::string_view(digits).substr(0, 2 * HalfDigits))
      .value_or(Hash128{});
}

std::string toText(const Hash128 &hash) {
  char text[2 * HalfDigits + 1];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(hash.High),
                static_cast<unsigned long long>(hash.Low));
  return text;
}

std::optional<Hash128> parseHash128(std::string_view text) {
  Hash128 hash;
  if (text.size() != 2 * HalfDigits ||
      !parseHalf(text.substr(0, HalfDigits), hash.High) ||
      !parseHalf(text.substr(HalfDigits), hash.Low))
    return std::nullopt;
  return hash;
}

} // namespace bergamot::state
