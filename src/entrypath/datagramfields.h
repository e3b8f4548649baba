#ifndef BERGAMOT_ENTRYPATH_DATAGRAMFIELDS_H
#define BERGAMOT_ENTRYPATH_DATAGRAMFIELDS_H

#include "libbergamotbase/timetypes.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace bergamot::entrypath {

/// The first byte of each datagram between entries. A version discards those
/// that it doesn't know.
enum class DatagramFormat : unsigned char {
  PeerReport = 1,
  UsageMessage = 2,
  PromptReport = 3,
  RateReport = 4,
};

inline bool hasFormat(std::string_view bytes, DatagramFormat format) {
  return !bytes.empty() && static_cast<unsigned char>(bytes.front()) ==
                               static_cast<unsigned char>(format);
}

/// Appends an unsigned integer in little-endian order.
template <typename Integer>
void appendInteger(std::string &bytes, Integer value) {
  for (std::size_t i = 0; i < sizeof(value); ++i)
    bytes.push_back(static_cast<char>(value >> 8 * i & 0xFF));
}

/// Stands for a time that is unset.
constexpr std::uint32_t NoAge = std::numeric_limits<std::uint32_t>::max();

/// Appends a time as 4 bytes with its age in milliseconds, as the clocks of
/// entries differ.
inline void appendAge(std::string &bytes, std::optional<base::TimePoint> at,
                      base::TimePoint now) {
  std::uint32_t age = NoAge;
  if (at)
    age = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        base::wholeMilliseconds(now - *at), 0, NoAge - 1));
  appendInteger(bytes, age);
}

/// Reads integers from the front of bytes. After a read beyond their end,
/// hasFailed() is true and zeros are returned.
class DatagramReader {
public:
  explicit DatagramReader(std::string_view bytes) : Bytes(bytes) {}

  template <typename Integer> Integer take() {
    if (Bytes.size() < sizeof(Integer)) {
      Failed = true;
      Bytes = {};
      return 0;
    }
    Integer value = 0;
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
      value |= static_cast<Integer>(static_cast<unsigned char>(Bytes[i]))
               << 8 * i;
    Bytes.remove_prefix(sizeof(Integer));
    return value;
  }
  std::optional<base::TimePoint> takeTime(base::TimePoint now) {
    const auto age = take<std::uint32_t>();
    if (age == NoAge)
      return std::nullopt;
    return now - std::chrono::milliseconds(age);
  }
  bool isAtEnd() const { return Bytes.empty(); }
  bool hasFailed() const { return Failed; }

private:
  std::string_view Bytes;
  bool Failed = false;
};

} // namespace bergamot::entrypath

#endif
