#ifndef BERGAMOT_ACTIVATION_ACTIVATIONEXPLORER_H
#define BERGAMOT_ACTIVATION_ACTIVATIONEXPLORER_H

#include <cstdint>
#include <string>

namespace bergamot::experts {

/// A mechanism that a run disables, to show that the explorer finds the
/// resulting violation.
enum class DisabledMechanism {
  None,
  /// Engines use a map as soon as it is staged.
  SwitchAtDecidedStep,
  /// Ranks accept any token and epoch.
  TokenCheck,
  /// A replacement rank joins an epoch on a request sent to its predecessor.
  IncarnationCheck,
  /// Engines run the map that they have staged, whatever hash the order
  /// contains.
  HashCheck,
  /// Step leaders and coordinators don't wait for the ranks' confirmations.
  Confirmations,
};

/// Bounds and injected faults of one exploration.
struct ExplorerSettings {
  std::uint32_t Ranks = 2;
  std::uint64_t Steps = 3;
  bool EnginesCheckTokens = true;
  /// Number of ranks that may be replaced at any time, each losing its memory.
  /// Replacing rank 0 also starts a new step leader while the old one still
  /// runs.
  std::uint32_t Replacements = 1;
  /// A second coordinator takes over at any time while the first one's orders
  /// still arrive.
  bool SecondCoordinator = true;
  /// Starts in the step that prepares the first coordinator's map instead of
  /// the group's first step. All earlier messages may still be delivered again.
  bool StartMidChange = false;
  DisabledMechanism Disabled = DisabledMechanism::None;
  /// Number of distinct states after which the exploration stops.
  std::size_t MaxStates = 300'000;
};

/// Result of an exploration.
struct ExplorerResult {
  /// The invariant that a visited state violates; empty if there is none.
  std::string Violation;
  /// The events that lead to the violation, one per line.
  std::string Trace;
  std::size_t States = 0;
  /// True if all reachable states were visited.
  bool Complete = false;
  /// True if a step ran with a later map than the first one in some state.
  bool Switched = false;
};

/// Visits the reachable states of the state machines, depth first. A message
/// that was sent may arrive at any later time, any number of times or never,
/// which covers loss, duplication, reordering, crashes and pauses.
ExplorerResult explore(const ExplorerSettings &settings);

} // namespace bergamot::experts

#endif
