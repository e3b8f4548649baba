#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_RANKSLOWDOWNS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_RANKSLOWDOWNS_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace bergamot::gateway {

/// Knows the slow ranks of expert groups and keeps requests away from them.
/// Load pattern: as all ranks step together, a prompt that a slow rank reads
/// holds up every stream of its group.
class RankSlowdowns {
public:
  /// Takes the time of a rank's work against that of a sound one. It is
  /// forgotten at `until`, in case nobody reports the rank's recovery.
  void setSlowdown(const std::string &group, std::uint32_t rank,
                   double slowdown, base::TimePoint expiresAt);
  /// Returns how many requests a rank may have, given the limit of a sound
  /// one: 0 for a very slow one, unless too many ranks of the group are slow
  /// for the others to take its part.
  std::uint32_t limit(const std::string &group, std::uint32_t rank,
                      std::uint32_t groupSize, std::uint32_t healthyLimit,
                      base::TimePoint now) const;

private:
  struct SlowRank {
    double Slowdown = 1;
    base::TimePoint ExpiresAt;
  };

  std::map<std::string, std::map<std::uint32_t, SlowRank>> SlowRanks;
};

} // namespace bergamot::gateway

#endif
