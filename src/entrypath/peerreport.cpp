#include "entrypath/peerreport.h"

#include <algorithm>

namespace bergamot::entrypath {

namespace {

constexpr unsigned char FormatVersion = 1;
constexpr std::size_t KeyBytes = 4;
constexpr std::size_t BytesPerTarget = KeyBytes + 1;
constexpr std::size_t MaxByte = 255;
/// The number of targets that fit into a datagram with the longest name.
constexpr std::size_t MaxTargets = 12000;

} // namespace

std::string encodeReport(const PeerReport &report) {
  const std::size_t length = std::min(report.Entry.size(), MaxByte);
  const std::size_t targets = std::min(report.Counts.size(), MaxTargets);
  std::string bytes;
  bytes.reserve(2 + length + targets * BytesPerTarget);
  bytes.push_back(static_cast<char>(FormatVersion));
  bytes.push_back(static_cast<char>(length));
  bytes.append(report.Entry, 0, length);
  for (std::size_t t = 0; t < targets; ++t) {
    const auto &[key, requests] = report.Counts[t];
    for (std::size_t i = 0; i < KeyBytes; ++i)
      bytes.push_back(static_cast<char>(key >> 8 * i & MaxByte));
    bytes.push_back(
        static_cast<char>(std::min<std::size_t>(requests, MaxByte)));
  }
  return bytes;
}

bool isReport(std::string_view bytes) {
  return !bytes.empty() &&
         static_cast<unsigned char>(bytes.front()) == FormatVersion;
}

std::optional<PeerReport> decodeReport(std::string_view bytes) {
  const auto byte = [&](std::size_t i) {
    return static_cast<unsigned char>(bytes[i]);
  };
  if (bytes.size() < 2 || byte(0) != FormatVersion || byte(1) == 0)
    return std::nullopt;
  const std::size_t length = byte(1);
  if (bytes.size() < 2 + length)
    return std::nullopt;
  PeerReport report;
  report.Entry = bytes.substr(2, length);
  bytes.remove_prefix(2 + length);
  if (bytes.size() % BytesPerTarget != 0)
    return std::nullopt;
  report.Counts.reserve(bytes.size() / BytesPerTarget);
  for (std::size_t at = 0; at < bytes.size(); at += BytesPerTarget) {
    gateway::TargetHash key = 0;
    for (std::size_t i = 0; i < KeyBytes; ++i)
      key |= static_cast<gateway::TargetHash>(byte(at + i)) << 8 * i;
    report.Counts.emplace_back(key, byte(at + KeyBytes));
  }
  return report;
}

} // namespace bergamot::entrypath
