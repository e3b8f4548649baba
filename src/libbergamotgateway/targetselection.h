#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETSELECTION_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETSELECTION_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bergamot::gateway {

/// A target that may receive a request, as seen at the time of the decision.
struct Candidate {
  std::string Id;
  /// Requests of all entries there, and how many it may have.
  std::uint32_t Requests = 0;
  std::uint32_t Limit = 1;
  /// The target is in the entry's failure domain.
  bool SameDomain = false;
  /// Recent failures and slowness; 0 is sound, 1 is the worst.
  double Penalty = 0;
};

/// Returns the index of the candidate with room that has the least work for
/// its limit, or -1 if none has room. Near targets win a tie, which saves
/// traffic between failure domains; `draw` in [0, 1) breaks the others, so
/// that entries with the same view don't all choose the same target.
int chooseTarget(std::span<const Candidate> candidates, double draw);

} // namespace bergamot::gateway

#endif
