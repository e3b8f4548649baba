#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_RANKSLOWDOWNS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_RANKSLOWDOWNS_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace bergamot::gateway {

/// Tracks slow ranks of expert groups and limits the requests sent to them. All
/// ranks of a group run in lockstep, so the prefill of a prompt on a slow rank
/// delays every stream of the group.
class RankSlowdowns {
public:
  /// Sets a rank's slowdown: how many times as long as a healthy rank it takes
  /// for the same work. The slowdown expires at `expiresAt`, because a recovery
  /// may go unreported.
  void setSlowdown(const std::string &group, std::uint32_t rank,
                   double slowdown, base::TimePoint expiresAt);
  /// Returns how many concurrent requests a rank may have, given the limit of a
  /// healthy rank. The limit of a very slow rank is 0, unless so many ranks of
  /// the group are slow that the others can't take over its requests.
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
