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

double score(const Candidate &it) {
  const double load = (it.Requests + it.UnreportedRequests) / it.MaxRequests;
  return load + PenaltyWeight * it.Penalty -
         (it.SameFailureDomain ? SameFailureDomainBonus : 0.0);
}

} // namespace

int chooseTarget(std::span<const Candidate> candidates, double draw) {
  double lowest = HUGE_VAL;
  for (const auto &it : candidates)
    if (it.Requests < it.MaxRequests)
      lowest = std::min(lowest, score(it));
  if (lowest == HUGE_VAL)
    return -1;
  std::vector<int> tied;
  for (std::size_t i = 0; i < candidates.size(); ++i)
    if (candidates[i].Requests < candidates[i].MaxRequests &&
        score(candidates[i]) <= lowest + TieTolerance)
      tied.push_back(static_cast<int>(i));
  return tied[static_cast<std::size_t>(draw *
                                       static_cast<double>(tied.size()))];
}

} // namespace bergamot::gateway
