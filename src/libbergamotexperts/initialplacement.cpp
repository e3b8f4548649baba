#include "libbergamotexperts/initialplacement.h"

#include "libbergamotbase/error.h"
#include "libbergamotexperts/splitstate.h"

#include <algorithm>
#include <numeric>

namespace bergamot::experts {

namespace {

constexpr unsigned FinalSweeps = 60;

std::vector<std::uint32_t> replicaCounts(std::span<const double> tokens,
                                         std::uint32_t liveRanks,
                                         std::size_t slots,
                                         std::uint32_t minReplicas) {
  const std::size_t n = tokens.size();
  const bool canReplicate = n * std::min(minReplicas, liveRanks) <= slots;
  std::vector<std::uint32_t> counts(
      n, canReplicate ? std::min(minReplicas, liveRanks) : 1U);
  std::size_t used = n * counts.front();
  const auto perReplica = [&](std::size_t e) {
    return counts[e] < liveRanks ? tokens[e] / counts[e] : -1.0;
  };
  for (; used < slots; ++used) {
    std::size_t heaviest = 0;
    for (std::size_t e = 1; e < n; ++e)
      if (perReplica(e) > perReplica(heaviest))
        heaviest = e;
    if (counts[heaviest] >= liveRanks)
      break;
    ++counts[heaviest];
  }
  return counts;
}

/// Places one replica at a time on the least loaded rank.
class ReplicaPlacer {
public:
  ReplicaPlacer(std::span<const RankInfo> ranks, std::uint32_t experts,
                std::uint32_t slotsPerRank)
      : Ranks(ranks),
        Map(experts, static_cast<std::uint32_t>(ranks.size()), slotsPerRank),
        Used(ranks.size(), 0), Load(ranks.size(), 0.0) {}

  void addExpert(std::uint32_t expert, std::uint32_t count, double tokens) {
    std::uint64_t usedDomains = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
      const std::uint32_t rank = bestRank(expert, usedDomains);
      if (rank == NoExpert)
        return;
      usedDomains |= 1ULL << (Ranks[rank].Domain % 64);
      const std::size_t slot =
          static_cast<std::size_t>(rank) * Map.slotsPerRank() + Used[rank]++;
      Map.setSlot(slot, {expert, i == 0 ? ShareScale : 0});
      Load[rank] += tokens / count / Ranks[rank].Speed;
    }
  }

  const ExpertMap &map() const { return Map; }

private:
  std::uint32_t bestRank(std::uint32_t expert,
                         std::uint64_t usedDomains) const {
    std::uint32_t best = NoExpert;
    bool bestIsNewDomain = false;
    for (std::uint32_t r = 0; r < Ranks.size(); ++r) {
      if (Ranks[r].Speed <= 0 || Used[r] >= Map.slotsPerRank() ||
          Map.holds(r, expert))
        continue;
      const bool isNewDomain =
          ((usedDomains >> (Ranks[r].Domain % 64)) & 1) == 0;
      if (best == NoExpert || (isNewDomain && !bestIsNewDomain) ||
          (isNewDomain == bestIsNewDomain && Load[r] < Load[best])) {
        best = r;
        bestIsNewDomain = isNewDomain;
      }
    }
    return best;
  }

  std::span<const RankInfo> Ranks;
  ExpertMap Map;
  std::vector<std::uint32_t> Used;
  std::vector<double> Load;
};

} // namespace

ExpertMap initialMap(std::span<const RankInfo> ranks,
                     std::uint32_t slotsPerRank, std::span<const double> tokens,
                     std::uint32_t minReplicas) {
  const auto experts = static_cast<std::uint32_t>(tokens.size());
  const auto live = static_cast<std::uint32_t>(std::ranges::count_if(
      ranks, [](const RankInfo &rank) { return rank.Speed > 0; }));
  const std::size_t slots = static_cast<std::size_t>(live) * slotsPerRank;
  if (experts == 0 || slots < experts)
    throw base::Error(base::Step::Experts, "",
                      "the live ranks have fewer slots than experts");
  const auto counts = replicaCounts(tokens, live, slots, minReplicas);
  std::vector<std::uint32_t> order(experts);
  std::iota(order.begin(), order.end(), 0U);
  std::ranges::stable_sort(order, [&](auto a, auto b) {
    if (counts[a] != counts[b])
      return counts[a] > counts[b];
    return tokens[a] > tokens[b];
  });
  ReplicaPlacer replicaPlacer(ranks, experts, slotsPerRank);
  for (const auto e : order)
    replicaPlacer.addExpert(e, counts[e], tokens[e]);
  SplitState state(replicaPlacer.map(), ranks, tokens);
  state.balanceAll(FinalSweeps, 1e-4);
  return state.map();
}

} // namespace bergamot::experts
