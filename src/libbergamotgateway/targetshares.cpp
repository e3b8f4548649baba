#include "libbergamotgateway/targetshares.h"

#include "libbergamotbase/digest.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace bergamot::gateway {

namespace {

/// Number of targets beyond which the EntriesAhead cache is cleared, as it then
/// holds targets that no longer exist.
constexpr std::size_t MaxCachedTargets = 4096;
/// Fraction of a cold target's request rate that all entries together use; the
/// rest is a margin for requests of several entries that arrive at the same
/// time.
constexpr double ColdRateFraction = 0.9;
constexpr std::chrono::seconds RateWindowLength{1};

std::uint64_t rendezvousHash(std::uint64_t targetHash,
                             std::uint64_t entryHash) {
  const std::array<std::uint64_t, 2> pair = {targetHash, entryHash};
  return base::xxHash64(std::string_view(
      reinterpret_cast<const char *>(pair.data()), sizeof(pair)));
}

} // namespace

void TargetShares::setEntries(const std::string &self,
                              const std::set<std::string> &entries) {
  OwnHash = base::xxHash64(self);
  EntryHashes = {OwnHash};
  for (const auto &it : entries)
    if (it != self)
      EntryHashes.push_back(base::xxHash64(it));
  EntriesAhead.clear();
}

double TargetShares::requestsPerSecond(const std::string &target,
                                       double rateLimit) {
  const auto entries = static_cast<double>(EntryHashes.size());
  if (rateLimit >= entries)
    return rateLimit / entries;
  // A target that can handle less than one request per second still serves one
  // entry.
  const auto served = static_cast<std::uint32_t>(std::max(1.0, rateLimit));
  return servesThisEntry(target, served) ? 1 : 0;
}

bool TargetShares::servesThisEntry(const std::string &target,
                                   std::uint32_t servedEntryCount) {
  if (EntriesAhead.size() > MaxCachedTargets)
    EntriesAhead.clear();
  const auto [it, added] = EntriesAhead.try_emplace(target, 0);
  if (added) {
    const std::uint64_t targetHash = base::xxHash64(target);
    const std::uint64_t self = rendezvousHash(targetHash, OwnHash);
    it->second = static_cast<std::uint32_t>(std::count_if(
        EntryHashes.begin(), EntryHashes.end(), [&](std::uint64_t entry) {
          return rendezvousHash(targetHash, entry) < self;
        }));
  }
  return it->second < servedEntryCount;
}

double coldRateFraction(base::Duration uptime) {
  return uptime < RateWindowLength ? ColdRateFraction / 2 : ColdRateFraction;
}

} // namespace bergamot::gateway
