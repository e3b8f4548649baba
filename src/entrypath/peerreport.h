#ifndef BERGAMOT_ENTRYPATH_PEERREPORT_H
#define BERGAMOT_ENTRYPATH_PEERREPORT_H

#include "libbergamotgateway/loadtracker.h"

#include <optional>
#include <string>
#include <string_view>

namespace bergamot::entrypath {

/// The report that an entry sends to the others several times a second: its
/// requests in flight at each target.
struct PeerReport {
  std::string Entry;
  gateway::RequestCounts Counts;
};

/// Encodes a report as one datagram: one byte with the format version, one with
/// the length of the entry's name, the name, and for each target its four-byte
/// key (little-endian) and one byte with the number of requests in flight
/// (capped at 255). Every entry receives the reports of all others, so they are
/// short and are decoded without an allocation per target.
std::string encodeReport(const PeerReport &report);
/// Returns whether a datagram has the format of a report.
bool isReport(std::string_view bytes);
/// Decodes a report. Returns nullopt if the bytes are malformed.
std::optional<PeerReport> decodeReport(std::string_view bytes);

} // namespace bergamot::entrypath

#endif
