#include "libbergamotgateway/targetselection.h"

#include <cmath>

namespace bergamot::gateway {

namespace {

/// Load difference, relative to MaxRequests, up to which a target in the
/// entry's own failure domain is preferred: less than one request of a target
/// with 12 slots.
constexpr double SameFailureDomainBonus = 0.04;
/// A target with the maximum penalty is selected only if the others are full.
constexpr double PenaltyWeight = 1.0;
/// Scores that differ by no more than this count as equal.
constexpr double TieTolerance = 0.02;

} // namespace

double loadScore(const Candidate &candidate) {
  const double load = (candidate.Requests + candidate.UnreportedRequests) /
                      candidate.MaxRequests;
  return load + PenaltyWeight * candidate.Penalty -
         (candidate.SameFailureDomain ? SameFailureDomainBonus : 0.0);
}

std::vector<std::size_t>
equallyGoodCandidates(std::span<const Candidate> candidates) {
  double lowest = HUGE_VAL;
  for (const auto &it : candidates)
    if (it.Requests < it.MaxRequests)
      lowest = std::min(lowest, loadScore(it));
  std::vector<std::size_t> tied;
  for (std::size_t i = 0; i < candidates.size(); ++i)
    if (candidates[i].Requests < candidates[i].MaxRequests &&
        loadScore(candidates[i]) <= lowest + TieTolerance)
      tied.push_back(i);
  return tied;
}

int chooseTarget(std::span<const Candidate> candidates, double draw) {
  const std::vector<std::size_t> tied = equallyGoodCandidates(candidates);
  if (tied.empty())
    return -1;
  return static_cast<int>(
      tied[static_cast<std::size_t>(draw * static_cast<double>(tied.size()))]);
}

} // namespace bergamot::gateway
