#ifndef BERGAMOT_ENTRYPATH_PROMPTREPORT_H
#define BERGAMOT_ENTRYPATH_PROMPTREPORT_H

#include "libbergamotgateway/promptsuspects.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::entrypath {

/// Encodes what an entry knows of prompts that may crash targets as one
/// datagram. Times are sent as ages in milliseconds, as the entries' clocks
/// differ. Integers are little-endian. One byte has the format version; then
/// for each part: 8 bytes with the part, 4 each with the ages of its last
/// response and of its last probe (all ones if there was none), one byte with
/// the number of crashes, and for each crash 8 bytes with its id and 4 with its
/// age. Versions that don't know the format discard the datagram.
std::string encodePromptReport(const std::vector<gateway::PartEvidence> &parts,
                               base::TimePoint now);
/// Returns whether a datagram has this format.
bool isPromptReport(std::string_view bytes);
/// Decodes a datagram. Returns nullopt if the bytes are malformed.
std::optional<std::vector<gateway::PartEvidence>>
decodePromptReport(std::string_view bytes, base::TimePoint now);

} // namespace bergamot::entrypath

#endif
