#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_ENGINELIMIT_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_ENGINELIMIT_H

#include "libbergamotgateway/routetable.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamot::gateway {

/// Returns how many concurrent streams an engine may run so that a forward pass
/// stays shorter than the longest gap between events that callers accept. All
/// ranks of a group run in lockstep, and popularity can shift abruptly to
/// experts that few ranks hold. Streams that are running at that moment can't
/// be withdrawn, so the limit has to hold for the pass right after such a shift
/// and not only for a typical one.
std::uint32_t streamLimit(const EngineProfile &engine,
                          std::chrono::milliseconds gapObjective);

/// Returns the limit of each service that has an engine profile, for the
/// shortest gap objective among the routes to the service.
std::map<std::string, std::uint32_t> streamLimits(const RouteTable &table);

} // namespace bergamot::gateway

#endif
