#include "entrypath/promptreport.h"

#include <algorithm>
#include <limits>

namespace bergamot::entrypath {

using base::TimePoint;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// PeerReport has 1 and UsageMessage 2.
constexpr unsigned char FormatVersion = 3;
constexpr std::uint32_t NoAge = std::numeric_limits<std::uint32_t>::max();
/// A part that crashes targets is blocked after a few crashes; more aren't
/// sent.
constexpr std::size_t MaxCrashes = 16;
/// The most parts that fit into a datagram, each with MaxCrashes.
constexpr std::size_t MaxParts = 256;

template <typename Integer> void append(std::string &bytes, Integer value) {
  for (std::size_t i = 0; i < sizeof(value); ++i)
    bytes.push_back(static_cast<char>(value >> 8 * i & 0xFF));
}

std::uint32_t ageOf(TimePoint at, TimePoint now) {
  const auto age = duration_cast<milliseconds>(now - at).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(age, 0, NoAge - 1));
}

std::uint32_t ageOf(const std::optional<TimePoint> &at, TimePoint now) {
  return at ? ageOf(*at, now) : NoAge;
}

/// Reads integers from the front of bytes. After a read beyond their end,
/// hasFailed() is true and zeros are returned.
class Reader {
public:
  explicit Reader(std::string_view bytes) : Bytes(bytes) {}

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
  std::optional<TimePoint> takeTime(TimePoint now) {
    const auto age = take<std::uint32_t>();
    if (age == NoAge)
      return std::nullopt;
    return now - milliseconds(age);
  }
  bool isAtEnd() const { return Bytes.empty(); }
  bool hasFailed() const { return Failed; }

private:
  std::string_view Bytes;
  bool Failed = false;
};

} // namespace

std::string encodePromptReport(const std::vector<gateway::PartEvidence> &parts,
                               TimePoint now) {
  std::string bytes;
  bytes.push_back(static_cast<char>(FormatVersion));
  for (std::size_t i = 0; i < std::min(parts.size(), MaxParts); ++i) {
    const gateway::PartEvidence &it = parts[i];
    append(bytes, it.Part);
    append(bytes, ageOf(it.BegunAt, now));
    append(bytes, ageOf(it.ProbedAt, now));
    std::size_t left = std::min(it.Crashes.size(), MaxCrashes);
    append(bytes, static_cast<std::uint8_t>(left));
    for (const auto &[crash, at] : it.Crashes) {
      if (left-- == 0)
        break;
      append(bytes, crash);
      append(bytes, ageOf(at, now));
    }
  }
  return bytes;
}

bool isPromptReport(std::string_view bytes) {
  return !bytes.empty() &&
         static_cast<unsigned char>(bytes.front()) == FormatVersion;
}

std::optional<std::vector<gateway::PartEvidence>>
decodePromptReport(std::string_view bytes, TimePoint now) {
  if (!isPromptReport(bytes))
    return std::nullopt;
  Reader in(bytes.substr(1));
  std::vector<gateway::PartEvidence> parts;
  while (!in.isAtEnd()) {
    gateway::PartEvidence it;
    it.Part = in.take<gateway::PromptPart>();
    it.BegunAt = in.takeTime(now);
    it.ProbedAt = in.takeTime(now);
    const auto crashes = in.take<std::uint8_t>();
    if (crashes > MaxCrashes || parts.size() >= MaxParts)
      return std::nullopt;
    for (unsigned i = 0; i < crashes; ++i) {
      const auto crash = in.take<gateway::CrashId>();
      it.Crashes.emplace(crash, in.takeTime(now).value_or(now));
    }
    parts.push_back(std::move(it));
  }
  if (in.hasFailed())
    return std::nullopt;
  return parts;
}

} // namespace bergamot::entrypath
