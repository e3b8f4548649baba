#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETSHARES_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETSHARES_H

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamot::gateway {

/// Divides the requests per second that a target can handle among the entries.
/// A target may turn cold before the entries learn of it, and all entries
/// together may then send it only a few requests per second. If there are more
/// entries than that, each target serves only as many entries as it can handle
/// requests per second, with one request per second from each: an equal share
/// would be a fraction of a request, and an entry can't send a fraction in each
/// second.
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
  /// can handle `rateLimit` in all: either 0 or at least 1.
  double requestsPerSecond(const std::string &target, double rateLimit);

private:
  bool isSelected(const std::string &target, std::uint32_t entries);

  std::uint64_t OwnHash = 0;
  std::vector<std::uint64_t> EntryHashes{0};
  /// For each target, the number of entries that precede this one in its order.
  std::unordered_map<std::string, std::uint32_t> EntriesAhead;
};

} // namespace bergamot::gateway

#endif
