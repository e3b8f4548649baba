#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETSELECTION_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETSELECTION_H

#include "libbergamotbase/timetypes.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bergamot::gateway {

/// A target that is eligible for a request, with its state at the time of the
/// decision.
struct Candidate {
  std::string Id;
  /// Requests of all entries at the target.
  std::uint32_t Requests = 0;
  /// Upper bound of Requests.
  std::uint32_t MaxRequests = 1;
  /// The target is in the entry's failure domain.
  bool SameFailureDomain = false;
  /// Penalty for recent failures, from 0 for a healthy target to 1.
  double Penalty = 0;
  /// Requests that other entries may have sent to the target since their last
  /// reports. They add to its load but don't make it full.
  double UnreportedRequests = 0;
};

/// Returns the load of a candidate relative to MaxRequests, including its
/// penalty and the preference for the entry's own failure domain. Lower is
/// better.
double loadScore(const Candidate &candidate);

/// Returns the indices of the candidates below MaxRequests whose score is the
/// lowest or close enough to it to count as equal; none if all are full.
std::vector<std::size_t>
equallyGoodCandidates(std::span<const Candidate> candidates);

/// Returns the index of the candidate below MaxRequests that has the lowest
/// load relative to MaxRequests, or -1 if all are full. Targets in the entry's
/// own failure domain win ties, which reduces traffic between failure domains.
/// `draw` in [0, 1) breaks the remaining ties, so that entries with the same
/// view don't all select the same target.
int chooseTarget(std::span<const Candidate> candidates, double draw);

} // namespace bergamot::gateway

#endif
