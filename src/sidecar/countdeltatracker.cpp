#include "sidecar/countdeltatracker.h"

#include <algorithm>
#include <limits>

namespace bergamot::sidecar {

namespace {

/// Several times a coordinator's poll period.
constexpr std::chrono::milliseconds MaxSnapshotAge{1000};

} // namespace

CountDeltas CountDeltaTracker::takeDeltas(std::uint32_t coordinatorRank,
                                          RankCounts totals,
                                          base::TimePoint now) {
  std::erase_if(Snapshots, [now](const auto &it) {
    return it.second.TakenAt + MaxSnapshotAge < now;
  });
  CountDeltas deltas;
  const auto found = Snapshots.find(coordinatorRank);
  const auto isContinuous = [&] {
    const RankCounts &previous = found->second.Totals;
    if (previous.Epoch != totals.Epoch ||
        previous.Counts.size() != totals.Counts.size())
      return false;
    // The counters of a restarted engine start at zero.
    for (std::size_t i = 0; i < totals.Counts.size(); ++i)
      if (totals.Counts[i] < previous.Counts[i])
        return false;
    return true;
  };
  if (found != Snapshots.end() && isContinuous()) {
    deltas.reserve(totals.Counts.size());
    constexpr std::uint64_t MaxDelta =
        std::numeric_limits<std::uint32_t>::max();
    for (std::size_t i = 0; i < totals.Counts.size(); ++i)
      deltas.push_back(static_cast<std::uint32_t>(std::min(
          MaxDelta, totals.Counts[i] - found->second.Totals.Counts[i])));
  }
  Snapshots[coordinatorRank] = {std::move(totals), now};
  return deltas;
}

void addCounts(CountDeltas &sum, const CountDeltas &counts) {
  if (sum.empty()) {
    sum = counts;
    return;
  }
  if (sum.size() != counts.size())
    return;
  for (std::size_t i = 0; i < sum.size(); ++i)
    sum[i] += counts[i];
}

} // namespace bergamot::sidecar
