#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_ENGINELIMIT_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_ENGINELIMIT_H

#include "libbergamotgateway/routetable.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamot::gateway {

/// Returns how many concurrent streams an engine (one target) may run so that a
/// pass (see EngineProfile::StepsPerPass) stays shorter than the event gap
/// objective. All ranks of a group run in lockstep, and requests can shift
/// abruptly to experts that few ranks hold. Streams that are running at that
/// moment can't be preempted, so the limit has to hold for the pass right after
/// such a shift and not only for a typical one.
std::uint32_t maxConcurrentStreams(const EngineProfile &engine,
                                   std::chrono::milliseconds eventGapObjective);

/// Returns the mean number of streams per rank at which a pass takes as long as
/// the event gap objective permits. `skew` is the ratio of the highest to the
/// mean load of the ranks; `reserved` is kept free for other work in the pass,
/// in addition to the usual margin. The result may be fractional or negative.
double maxStreamsPerRank(const EngineProfile &engine,
                         std::chrono::milliseconds eventGapObjective,
                         double skew, base::Duration reserved);

/// Returns how long the prefill of a number of typical prompts takes; 0 if the
/// profile doesn't say.
base::Duration prefillTime(const EngineProfile &engine, double prompts);

/// Returns how long a typical stream takes at an engine that runs a number of
/// streams, while experts are used evenly; 0 if the profile doesn't say.
base::Duration typicalStreamTime(const EngineProfile &engine,
                                 std::uint32_t streams);

/// Returns the shortest event gap objective among the routes to a service; 0 if
/// none has one.
std::chrono::milliseconds minEventGapObjective(const RouteTable &table,
                                               const std::string &service);

/// Returns the limit for each service that has an engine profile, for its
/// minEventGapObjective().
std::map<std::string, std::uint32_t>
maxConcurrentStreamsByService(const RouteTable &table);

} // namespace bergamot::gateway

#endif
