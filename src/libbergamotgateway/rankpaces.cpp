#include "libbergamotgateway/rankpaces.h"

#include <algorithm>

namespace bergamot::gateway {

using base::TimePoint;

namespace {

/// Pace from which a rank gets no requests: one prompt takes longer there than
/// half of the gap that callers accept.
constexpr double VerySlow = 4;
/// Part of a group's ranks that may go without requests.
constexpr double MaxIdlePart = 0.34;

} // namespace

void RankPaces::setPace(const std::string &group, std::uint32_t rank,
                        double pace, TimePoint until) {
  auto &slow = SlowByGroup[group];
  if (pace > 1)
    slow[rank] = {pace, until};
  else
    slow.erase(rank);
}

std::uint32_t RankPaces::limit(const std::string &group, std::uint32_t rank,
                               std::uint32_t groupSize,
                               std::uint32_t soundLimit, TimePoint now) const {
  const auto slow = SlowByGroup.find(group);
  if (slow == SlowByGroup.end())
    return soundLimit;
  const auto it = slow->second.find(rank);
  if (it == slow->second.end() || it->second.Until <= now)
    return soundLimit;
  const bool othersSuffice = static_cast<double>(slow->second.size()) <=
                             MaxIdlePart * static_cast<double>(groupSize);
  if (it->second.Pace >= VerySlow && othersSuffice)
    return 0;
  return std::max(1U, static_cast<std::uint32_t>(soundLimit / it->second.Pace));
}

} // namespace bergamot::gateway
