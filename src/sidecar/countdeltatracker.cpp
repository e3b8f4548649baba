#include "sidecar/countdeltatracker.h"

#include <algorithm>
#include <limits>

namespace bergamot::sidecar {

namespace {

/// Several polls of a coordinator.
constexpr std::chrono::milliseconds MaxPause{1000};

} // namespace

AddedCounts CountWindow::added(std::uint32_t caller, RankCounts totals,
                               base::TimePoint now) {
  std::erase_if(
      Last, [now](const auto &it) { return it.second.At + MaxPause < now; });
  AddedCounts added;
  const auto last = Last.find(caller);
  const auto follows = [&] {
    const RankCounts &before = last->second.Totals;
    if (before.Epoch != totals.Epoch ||
        before.Counts.size() != totals.Counts.size())
      return false;
    // A restarted engine counts from zero.
    for (std::size_t i = 0; i < totals.Counts.size(); ++i)
      if (totals.Counts[i] < before.Counts[i])
        return false;
    return true;
  };
  if (last != Last.end() && follows()) {
    added.reserve(totals.Counts.size());
    constexpr std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
    for (std::size_t i = 0; i < totals.Counts.size(); ++i)
      added.push_back(static_cast<std::uint32_t>(
          std::min(Most, totals.Counts[i] - last->second.Totals.Counts[i])));
  }
  Last[caller] = {std::move(totals), now};
  return added;
}

void addCounts(AddedCounts &sum, const AddedCounts &more) {
  if (sum.empty()) {
    sum = more;
    return;
  }
  if (sum.size() != more.size())
    return;
  for (std::size_t i = 0; i < sum.size(); ++i)
    sum[i] += more[i];
}

} // namespace bergamot::sidecar
