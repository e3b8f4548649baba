#ifndef BERGAMOT_ENTRYPATH_RATEREPORT_H
#define BERGAMOT_ENTRYPATH_RATEREPORT_H

#include "libbergamotgateway/targetratelimits.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::entrypath {

/// Encodes what targets have stated of their request rates as one datagram. One
/// byte has the format; then for each target, as little-endian integers: 4
/// bytes with its key, 8 with the start time in its record in Unix
/// milliseconds, 4 with the age of the statement in milliseconds and 4 with
/// thousandths of a request per second (all ones if it names no limit). A
/// report without targets asks for all that the receiver knows. Versions that
/// don't know the format discard the datagram.
std::string
encodeRateReport(const std::vector<gateway::RateStatement> &statements,
                 base::TimePoint now);
/// Returns whether a datagram has this format.
bool isRateReport(std::string_view bytes);
/// Decodes a datagram. Returns nullopt if the bytes are malformed.
std::optional<std::vector<gateway::RateStatement>>
decodeRateReport(std::string_view bytes, base::TimePoint now);

} // namespace bergamot::entrypath

#endif
