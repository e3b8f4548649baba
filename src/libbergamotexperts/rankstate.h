#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_RANKSTATE_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_RANKSTATE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::experts {

/// The experts on each rank of a group, by set and rank. A set stands for
/// the layers that share one placement. Ranks that hold the same expert share
/// its tokens evenly.
using GroupMap = std::vector<std::vector<std::vector<std::uint32_t>>>;

/// A map that a rank will switch to at the start of Step.
struct ArmedSwitch {
  std::uint64_t Version = 0;
  std::uint64_t Step = 0;

  bool operator==(const ArmedSwitch &) const = default;
};

/// Slowdown from which a rank counts as slow; the slow engines in the
/// deployments have 1.6 to 12.
inline constexpr double SlowRankThreshold = 1.2;

/// State that a rank reports.
struct RankState {
  std::string Group;
  std::uint32_t Rank = 0;
  std::uint32_t GroupSize = 0;
  /// Changes when the group restarts, which resets maps and orders.
  std::uint64_t Epoch = 0;
  bool GroupOpen = false;
  /// The last step that has begun.
  std::uint64_t Step = 0;
  /// Version of the map in use.
  std::uint64_t MapVersion = 0;
  /// Version of the newest map whose experts have all been copied; 0 if none.
  std::uint64_t PreparedVersion = 0;
  std::optional<ArmedSwitch> Armed;
  /// The step that the rank is holding; unset if none.
  std::optional<std::uint64_t> HeldStep;
  /// Slowdown of the rank's work relative to a healthy rank; above 1 for a slow
  /// rank.
  double Slowdown = 1;
};

/// Kind of an order to a rank. See mapchange.h for the protocol.
enum class OrderKind {
  /// Copy the experts of a map.
  Prepare,
  /// Switch to a prepared map when the given step begins.
  Arm,
  Disarm,
  /// Don't begin the given step until Release, which keeps the whole group
  /// waiting.
  Hold,
  Release,
};

/// Returns the name of an order for logs.
const char *orderName(OrderKind kind);

/// An order to a rank. It is executed only if the rank's group is still in the
/// given epoch.
struct RankOrder {
  OrderKind Kind = OrderKind::Prepare;
  std::uint64_t Version = 0;
  std::uint64_t Step = 0;
  std::uint64_t Epoch = 0;
  /// Only for Prepare.
  GroupMap Map;
};

/// Result of an order.
enum class OrderResult {
  Accepted,
  /// The order conflicts with the rank's state and had no effect.
  Conflict,
  /// No response: the order may have been executed or may be executed later.
  Unknown,
};

} // namespace bergamot::experts

#endif
