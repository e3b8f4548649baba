#include "libbergamotrouting/rendezvous.h"

#include "libbergamotbase/digest.h"

#include <cmath>

namespace bergamot::routing {

std::uint64_t rendezvousHash(std::uint64_t key, std::uint64_t node) {
  // SplitMix64 finalizer. The multiplier makes the hash of (a, b) differ from
  // that of (b, a).
  std::uint64_t x = key + node * 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

double rendezvousScore(std::uint64_t hash, double weight) {
  // The 53 highest bits give a number strictly between 0 and 1.
  const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
  return -weight / std::log(unit);
}

VmId rendezvousOwner(std::string_view key, std::span<const VmId> nodes) {
  const std::uint64_t keyHash = base::xxHash64(key);
  const VmId *best = nullptr;
  std::uint64_t highest = 0;
  for (const auto &node : nodes) {
    const std::uint64_t hash =
        rendezvousHash(keyHash, base::xxHash64(node.Value));
    if (best == nullptr || hash > highest ||
        (hash == highest && node < *best)) {
      best = &node;
      highest = hash;
    }
  }
  return best == nullptr ? VmId{} : *best;
}

} // namespace bergamot::routing
