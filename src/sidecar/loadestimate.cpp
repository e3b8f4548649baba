#include "sidecar/loadestimate.h"

namespace bergamot::sidecar {

void LoadEstimate::startUpdate() {
  Weight *= Keep;
  for (auto &set : Loads)
    for (double &it : set)
      it *= Keep;
}

void LoadEstimate::addCounts(std::uint32_t rank, const RankCounts &counts) {
  const std::size_t perSet = Loads.empty() ? 0 : Loads.front().size();
  if (counts.Counts.size() != Loads.size() * perSet)
    return;
  const auto last = Last.find(rank);
  const bool follows = last != Last.end() &&
                       last->second.Epoch == counts.Epoch &&
                       last->second.Counts.size() == counts.Counts.size();
  if (follows) {
    for (std::size_t i = 0; i < counts.Counts.size(); ++i) {
      const std::uint64_t before = last->second.Counts[i];
      // A restarted rank counts from zero.
      const std::uint64_t added =
          counts.Counts[i] >= before ? counts.Counts[i] - before : 0;
      Loads[i / perSet][i % perSet] += static_cast<double>(added);
      Weight += static_cast<double>(added);
    }
  }
  Last[rank] = counts;
}

} // namespace bergamot::sidecar
