#ifndef BERGAMOT_ENTRYPATH_PEERREPORT_H
#define BERGAMOT_ENTRYPATH_PEERREPORT_H

#include "libbergamotgateway/loadtracker.h"

#include <optional>
#include <string>
#include <string_view>

namespace bergamot::entrypath {

/// The report that an entry sends to the others several times a second.
struct PeerReport {
  std::string Entry;
  gateway::RequestCounts Counts;
};

/// Encodes a report as one datagram: a format number, the length of the name
/// and the name in bytes, and for each target four bytes of its key and one
/// byte with its requests in flight. Every entry receives the reports of all
/// others, so they are short and are decoded without an allocation per target.
std::string encodeReport(const PeerReport &report);
/// Decodes a report; unset if the bytes are malformed.
std::optional<PeerReport> decodeReport(std::string_view bytes);

} // namespace bergamot::entrypath

#endif
