#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETSHARES_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETSHARES_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamot::gateway {

/// Divides the requests per second that a target can handle among the entries.
/// A target can become cold before the entries learn of it. Even then, all
/// entries together must send it no more than a few requests per second. If the
/// number of entries exceeds the target's rate limit, an equal share would be a
/// fraction of a request per second, which an entry can't send. A target that
/// can handle N requests per second therefore serves only N entries, with one
/// request per second from each.
///
/// The entries that a target serves are determined by rendezvous hashing of the
/// names, so the entries agree without communication, and adding or removing an
/// entry changes few assignments.
class TargetShares {
public:
  /// Sets the entries that may be running, including this one (`self`).
  void setEntries(const std::string &self,
                  const std::set<std::string> &entries);
  unsigned entryCount() const {
    return static_cast<unsigned>(EntryHashes.size());
  }
  /// Returns how many requests per second this entry may send to a target that
  /// can handle `rateLimit` requests per second from all entries: either 0 or
  /// at least 1.
  double requestsPerSecond(const std::string &target, double rateLimit);

private:
  /// Returns whether this entry is among the `servedEntryCount` entries that
  /// the target serves.
  bool servesThisEntry(const std::string &target,
                       std::uint32_t servedEntryCount);

  std::uint64_t OwnHash = 0;
  std::vector<std::uint64_t> EntryHashes{0};
  /// For each target, the number of entries that precede this one in the
  /// target's rendezvous order.
  std::unordered_map<std::string, std::uint32_t> EntriesAhead;
};

/// Returns the fraction of a cold target's request rate that all entries
/// together use, for an entry whose process has run for `uptime`. Its earlier
/// process may have used the entry's whole share in the same second, so it is
/// half in the first second; targets bear 1.5 times their rate.
double coldRateFraction(base::Duration uptime);

} // namespace bergamot::gateway

#endif
