#include "libbergamotgateway/rankslowdowns.h"

#include <algorithm>

namespace bergamot::gateway {

using base::TimePoint;

namespace {

/// Slowdown at and above which a rank gets no requests: at this slowdown the
/// prefill of one prompt takes longer than half of the event gap objective.
constexpr double ExclusionSlowdown = 4;
/// Maximum fraction of a group's ranks that may be excluded from requests.
constexpr double MaxExcludedFraction = 0.34;

} // namespace

void RankSlowdowns::setSlowdown(const std::string &group, std::uint32_t rank,
                                double slowdown, TimePoint expiresAt) {
  auto &slowRanks = SlowRanks[group];
  if (slowdown > 1)
    slowRanks[rank] = {slowdown, expiresAt};
  else
    slowRanks.erase(rank);
}

std::uint32_t RankSlowdowns::limit(const std::string &group, std::uint32_t rank,
                                   std::uint32_t groupSize,
                                   std::uint32_t healthyLimit,
                                   TimePoint now) const {
  const auto slowRanks = SlowRanks.find(group);
  if (slowRanks == SlowRanks.end())
    return healthyLimit;
  const auto it = slowRanks->second.find(rank);
  if (it == slowRanks->second.end() || it->second.ExpiresAt <= now)
    return healthyLimit;
  const bool enoughHealthyRanks =
      static_cast<double>(slowRanks->second.size()) <=
      MaxExcludedFraction * static_cast<double>(groupSize);
  if (it->second.Slowdown >= ExclusionSlowdown && enoughHealthyRanks)
    return 0;
  return std::max(
      1U, static_cast<std::uint32_t>(healthyLimit / it->second.Slowdown));
}

} // namespace bergamot::gateway
