#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_RANKSTATE_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_RANKSTATE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::experts {

/// The experts that each rank of a group holds, by set of layers and rank.
/// Ranks that hold an expert share its tokens evenly.
using GroupMap = std::vector<std::vector<std::vector<std::uint32_t>>>;

/// A map that a rank will switch to as a step begins.
struct ArmedSwitch {
  std::uint64_t Version = 0;
  std::uint64_t Step = 0;

  bool operator==(const ArmedSwitch &) const = default;
};

/// Pace from which a rank counts as slow; the slow engines of the deployments
/// have 1.6 to 12.
inline constexpr double MinSlowPace = 1.2;

/// What a rank says of itself.
struct RankState {
  std::string Group;
  std::uint32_t Rank = 0;
  std::uint32_t GroupSize = 0;
  /// Changes when the group has formed anew, which resets maps and orders.
  std::uint64_t Epoch = 0;
  bool GroupOpen = false;
  /// The last step that was begun.
  std::uint64_t Step = 0;
  /// Version of the map in use.
  std::uint64_t MapVersion = 0;
  /// Version of the map whose experts have all been copied; 0 if none.
  std::uint64_t PreparedVersion = 0;
  std::optional<ArmedSwitch> Armed;
  /// The step that the rank holds back; unset if none.
  std::optional<std::uint64_t> HeldStep;
  /// Time that the rank's work takes against that of a sound one; above 1 for a
  /// slow one.
  double Pace = 1;
};

/// What a rank is told to do. See mapchange.h for the protocol.
enum class OrderKind {
  /// Copy the experts of a map.
  Prepare,
  /// Switch to a prepared map as a step begins.
  Arm,
  Disarm,
  /// Keep the group from beginning a step until Release.
  Hold,
  Release,
};

/// Returns the name of an order for logs.
const char *orderName(OrderKind kind);

/// An order to a rank. It is carried out only if the rank's group is still in
/// the epoch.
struct RankOrder {
  OrderKind Kind = OrderKind::Prepare;
  std::uint64_t Version = 0;
  std::uint64_t Step = 0;
  std::uint64_t Epoch = 0;
  /// Only for Prepare.
  GroupMap Map;
};

/// What became of an order.
enum class OrderResult {
  Accepted,
  /// The rank's state doesn't fit the order; nothing was done.
  Conflict,
  /// No response: the order may have been carried out or may be later.
  Unknown,
};

} // namespace bergamot::experts

#endif
