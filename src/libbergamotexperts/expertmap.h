#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_EXPERTMAP_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_EXPERTMAP_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::experts {

/// Marks an empty slot.
constexpr std::uint32_t NoExpert = 0xffffffff;

/// The shares of an expert's replicas add up to this value.
constexpr std::uint32_t ShareScale = 65536;

/// One slot of a rank: the expert in it and the replica's share of that
/// expert's tokens, in units of 1/ShareScale.
struct Slot {
  std::uint32_t Expert = NoExpert;
  std::uint32_t Share = 0;

  auto operator<=>(const Slot &) const = default;
};

/// Kind of inconsistency in a map.
enum class MapErrorKind {
  ExpertMissing,
  ExpertTwiceOnRank,
  ExpertOutOfRange,
  ShareSumMismatch,
  ShareOnEmptySlot,
};

/// An inconsistency with the expert and rank concerned. Rank is 0 if the error
/// concerns an expert on all ranks.
struct MapError {
  MapErrorKind Kind;
  std::uint32_t Expert;
  std::uint32_t Rank;
};

/// Placement of one layer's experts in the slots of a group's ranks. In each
/// step, a dispatcher sends Share/ShareScale of an expert's tokens to each
/// replica; a replica with share 0 stays loaded but receives no tokens.
class ExpertMap {
public:
  ExpertMap() = default;
  ExpertMap(std::uint32_t experts, std::uint32_t ranks,
            std::uint32_t slotsPerRank);

  std::uint32_t expertCount() const { return Experts; }
  std::uint32_t rankCount() const { return Ranks; }
  std::uint32_t slotsPerRank() const { return SlotsPerRank; }

  /// Returns all slots; those of rank r start at r * slotsPerRank().
  std::span<const Slot> slots() const { return Slots; }
  /// Returns the slots of one rank.
  std::span<const Slot> slots(std::uint32_t rank) const;
  /// Sets a slot by its index in slots().
  void setSlot(std::size_t index, Slot slot) { Slots.at(index) = slot; }

  /// Returns whether a rank holds a replica of an expert.
  bool holds(std::uint32_t rank, std::uint32_t expert) const;
  /// Returns the ranks that hold a replica of an expert, in rank order.
  std::vector<std::uint32_t> replicaRanks(std::uint32_t expert) const;

  /// Returns all errors of the map; empty if the map is valid.
  std::vector<MapError> errors() const;

  /// Returns the canonical encoding: a magic word, three sizes and the slots as
  /// little-endian 32-bit words.
  std::string serialize() const;
  /// Decodes a map from its canonical encoding. Throws base::Error with
  /// base::Step::Experts if the bytes are malformed or the map isn't valid.
  static ExpertMap parse(std::string_view bytes);

  /// Returns the SHA-256 of the canonical encoding.
  std::string contentHash() const;

  auto operator<=>(const ExpertMap &) const = default;

private:
  std::uint32_t Experts = 0;
  std::uint32_t Ranks = 0;
  std::uint32_t SlotsPerRank = 0;
  std::vector<Slot> Slots;
};

/// Returns the SHA-256 that identifies the maps of all layers of a group.
std::string groupContentHash(std::span<const ExpertMap> layers);

/// A replica whose weights a rank must fetch before it can use a map.
struct ReplicaTransfer {
  std::uint32_t Expert = 0;
  std::uint32_t Rank = 0;

  auto operator<=>(const ReplicaTransfer &) const = default;
};

/// Returns the replicas in `next` that `current` doesn't have on the same rank,
/// in slot order.
std::vector<ReplicaTransfer> transfersBetween(const ExpertMap &current,
                                              const ExpertMap &next);

} // namespace bergamot::experts

#endif
