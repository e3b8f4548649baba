#ifndef BERGAMOT_ENTRYPATH_PEERREPORT_H
#define BERGAMOT_ENTRYPATH_PEERREPORT_H

#include "libbergamotgateway/loadboard.h"

#include <optional>
#include <string>
#include <string_view>

namespace bergamot::entrypath {

/// What an entry tells the others some times a second.
struct PeerReport {
  std::string Entry;
  gateway::RequestCounts Counts;
};

/// Returns a report as one datagram: a format number, the length of the name
/// and the name, and for each target four bytes of its key and one of its
/// requests. Every entry reads the reports of all others, so they are short and
/// read without allocation per target.
std::string encodeReport(const PeerReport &report);
/// Returns unset for damaged bytes.
std::optional<PeerReport> decodeReport(std::string_view bytes);

} // namespace bergamot::entrypath

#endif
