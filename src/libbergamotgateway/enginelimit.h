#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_ENGINELIMIT_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_ENGINELIMIT_H

#include "libbergamotgateway/routetable.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamot::gateway {

/// Returns how many streams an engine may run at once so that a pass stays
/// shorter than the longest pause that callers accept. Load pattern: all ranks
/// of a group step together, and popularity jumps to experts that few ranks
/// hold. Streams that run at that moment can't be taken back, so the limit has
/// to hold for the pass right after a jump, not for the usual one.
std::uint32_t streamLimit(const EngineProfile &engine,
                          std::chrono::milliseconds gapObjective);

/// Returns the limit of each service of a configuration that has an engine,
/// for the shortest pause that one of its routes asks for.
std::map<std::string, std::uint32_t> streamLimits(const RouteTable &table);

} // namespace bergamot::gateway

#endif
