#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_INITIALPLACEMENT_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_INITIALPLACEMENT_H

#include "libbergamotexperts/expertmap.h"
#include "libbergamotexperts/rankinfo.h"

#include <cstdint>
#include <span>

namespace bergamot::experts {

/// Returns a map built from scratch. Replica counts are chosen so that the
/// tokens per replica are as even as possible, with at least `minReplicas`
/// replicas of each expert if there are enough slots. The experts with the most
/// replicas and tokens are placed first, each replica on the rank with the
/// lowest load, preferably in a failure domain that has no replica of the
/// expert yet. Stalled ranks stay empty. `tokens` are per step and expert.
/// Throws base::Error with base::Step::Experts if the live ranks have fewer
/// slots than there are experts.
ExpertMap initialMap(std::span<const RankInfo> ranks,
                     std::uint32_t slotsPerRank, std::span<const double> tokens,
                     std::uint32_t minReplicas);

} // namespace bergamot::experts

#endif
