#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_INITIALPLACEMENT_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_INITIALPLACEMENT_H

#include "libbergamotexperts/expertmap.h"
#include "libbergamotexperts/rankinfo.h"

#include <cstdint>
#include <span>

namespace bergamot::experts {

/// Returns a map made from scratch: replicas in proportion to tokens per
/// replica, at least `minReplicas` each if the slots suffice, the heaviest
/// placed first on the fastest rank that is free, in another failure domain
/// than the replicas before it where there is one. Stalled ranks stay empty.
/// `tokens` are per step and expert. Throws base::Error with Step::Experts if
/// the live slots can't hold every expert once.
ExpertMap initialMap(std::span<const RankInfo> ranks,
                     std::uint32_t slotsPerRank, std::span<const double> tokens,
                     std::uint32_t minReplicas);

} // namespace bergamot::experts

#endif
