#include "entrypath/ratereport.h"

#include "entrypath/datagramfields.h"

#include <algorithm>
#include <cmath>

namespace bergamot::entrypath {

using base::TimePoint;
using gateway::RateStatement;

namespace {

constexpr double UnitsPerRequest = 1000;
constexpr std::uint32_t NoLimit = std::numeric_limits<std::uint32_t>::max();
/// The number of targets that fit into a datagram.
constexpr std::size_t MaxTargets = 3000;

std::uint32_t encodeRate(const std::optional<double> &requestsPerSecond) {
  if (!requestsPerSecond)
    return NoLimit;
  return static_cast<std::uint32_t>(std::clamp(
      std::round(UnitsPerRequest * *requestsPerSecond), 0.0, NoLimit - 1.0));
}

std::optional<double> decodeRate(std::uint32_t units) {
  if (units == NoLimit)
    return std::nullopt;
  return units / UnitsPerRequest;
}

} // namespace

std::string encodeRateReport(const std::vector<RateStatement> &statements,
                             TimePoint now) {
  std::string bytes;
  bytes.push_back(static_cast<char>(DatagramFormat::RateReport));
  for (std::size_t i = 0; i < std::min(statements.size(), MaxTargets); ++i) {
    const RateStatement &it = statements[i];
    appendInteger(bytes, it.Target);
    appendInteger(bytes, static_cast<std::uint64_t>(it.StartedAtMs));
    appendAge(bytes, it.StatedAt, now);
    appendInteger(bytes, encodeRate(it.RequestsPerSecond));
  }
  return bytes;
}

bool isRateReport(std::string_view bytes) {
  return hasFormat(bytes, DatagramFormat::RateReport);
}

std::optional<std::vector<RateStatement>>
decodeRateReport(std::string_view bytes, TimePoint now) {
  if (!isRateReport(bytes))
    return std::nullopt;
  DatagramReader in(bytes.substr(1));
  std::vector<RateStatement> statements;
  while (!in.isAtEnd()) {
    RateStatement it;
    it.Target = in.take<gateway::TargetHash>();
    it.StartedAtMs = static_cast<std::int64_t>(in.take<std::uint64_t>());
    it.StatedAt = in.takeTime(now).value_or(now);
    it.RequestsPerSecond = decodeRate(in.take<std::uint32_t>());
    statements.push_back(it);
  }
  if (in.hasFailed())
    return std::nullopt;
  return statements;
}

} // namespace bergamot::entrypath
