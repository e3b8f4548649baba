#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETSHARES_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETSHARES_H

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamot::gateway {

/// Shares a target's allowance of requests per second among the entries. Load
/// pattern: a target may turn cold unseen, and all entries together may then
/// send it only some requests per second. With more entries than that, each
/// target serves only as many entries as it allows requests, one a second
/// from each: a smaller part for every entry would be a fraction of a request,
/// which no entry can keep to in each second.
///
/// Which entries a target serves follows from the names alone (rendezvous
/// hashing), so the entries agree without messages, and an entry that comes
/// or goes changes little.
class TargetShares {
public:
  /// Sets the entries that may run, the own one included.
  void setEntries(const std::string &self,
                  const std::set<std::string> &entries);
  unsigned entryCount() const {
    return static_cast<unsigned>(EntryHashes.size());
  }
  /// Returns how many requests per second this entry may send to a target that
  /// allows so many in all, at least 0; a share is at least one or nothing.
  double requestsPerSecond(const std::string &target, double rateLimit);

private:
  bool isSelected(const std::string &target, std::uint32_t entries);

  std::uint64_t OwnHash = 0;
  std::vector<std::uint64_t> EntryHashes{0};
  /// How many entries come before this one at a target.
  std::unordered_map<std::string, std::uint32_t> EntriesAhead;
};

} // namespace bergamot::gateway

#endif
