#ifndef BERGAMOT_LIBBERGAMOTROUTING_RENDEZVOUS_H
#define BERGAMOT_LIBBERGAMOTROUTING_RENDEZVOUS_H

#include "libbergamotrouting/routingtypes.h"

#include <span>
#include <string_view>

namespace bergamot::routing {

/// Returns the rendezvous hash of a key and a node from their xxHash64 values.
/// All processes compute the same value.
std::uint64_t rendezvousHash(std::uint64_t key, std::uint64_t node);

/// Returns the weighted rendezvous score of a hash; the highest score wins.
double rendezvousScore(std::uint64_t hash, double weight);

/// Returns the node with the highest hash for the key, or an empty id if there
/// is no node. Few keys move when a node joins or leaves.
VmId rendezvousOwner(std::string_view key, std::span<const VmId> nodes);

} // namespace bergamot::routing

#endif
