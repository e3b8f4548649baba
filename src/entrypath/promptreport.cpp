#include "entrypath/promptreport.h"

#include "entrypath/datagramfields.h"

#include <algorithm>

namespace bergamot::entrypath {

using base::TimePoint;

namespace {

/// A part that crashes targets is blocked after a few crashes; more aren't
/// sent.
constexpr std::size_t MaxCrashes = 16;
/// The most parts that fit into a datagram, each with MaxCrashes.
constexpr std::size_t MaxParts = 256;

} // namespace

std::string encodePromptReport(const std::vector<gateway::PartEvidence> &parts,
                               TimePoint now) {
  std::string bytes;
  bytes.push_back(static_cast<char>(DatagramFormat::PromptReport));
  for (std::size_t i = 0; i < std::min(parts.size(), MaxParts); ++i) {
    const gateway::PartEvidence &it = parts[i];
    appendInteger(bytes, it.Part);
    appendAge(bytes, it.BegunAt, now);
    appendAge(bytes, it.ProbedAt, now);
    std::size_t left = std::min(it.Crashes.size(), MaxCrashes);
    appendInteger(bytes, static_cast<std::uint8_t>(left));
    for (const auto &[crash, at] : it.Crashes) {
      if (left-- == 0)
        break;
      appendInteger(bytes, crash);
      appendAge(bytes, at, now);
    }
  }
  return bytes;
}

bool isPromptReport(std::string_view bytes) {
  return hasFormat(bytes, DatagramFormat::PromptReport);
}

std::optional<std::vector<gateway::PartEvidence>>
decodePromptReport(std::string_view bytes, TimePoint now) {
  if (!isPromptReport(bytes))
    return std::nullopt;
  DatagramReader in(bytes.substr(1));
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
