#ifndef BERGAMOT_ACTIVATION_ACTIVATIONEXPLORER_H
#define BERGAMOT_ACTIVATION_ACTIVATIONEXPLORER_H

#include <cstdint>
#include <string>

namespace bergamot::experts {

/// A mechanism that a run takes out, to show that the explorer finds the fault.
enum class DisabledMechanism {
  None,
  /// Engines use a map from the moment it is staged.
  SwitchAtDecidedStep,
  /// Ranks accept every token and epoch.
  TokenCheck,
  /// A rank joins an epoch by a query that was sent to its predecessor.
  IncarnationCheck,
  /// Engines run what they have staged, whatever hash the order names.
  HashCheck,
  /// Step leaders and coordinators don't wait for the ranks' confirmations.
  Confirmations,
};

/// Size and faults of one exploration.
struct ExplorerSettings {
  std::uint32_t Ranks = 2;
  std::uint64_t Steps = 3;
  bool EnginesCheckTokens = true;
  /// Ranks that may be replaced at any moment, each with a loss of its memory;
  /// replacing rank 0 also brings a new step leader while the old one lives.
  std::uint32_t Replacements = 1;
  /// A second coordinator takes over at any moment, and the first one's orders
  /// keep arriving.
  bool SecondCoordinator = true;
  /// Starts in the step that prepares the first coordinator's map instead of
  /// the group's first step. All messages up to there may still arrive again.
  bool StartMidChange = false;
  DisabledMechanism Disabled = DisabledMechanism::None;
  /// Distinct states after which the exploration stops.
  std::size_t MaxStates = 300'000;
};

/// What an exploration found.
struct ExplorerResult {
  /// Empty if every state that was reached is sound.
  std::string Violation;
  /// The events that lead to the fault, one a line.
  std::string Trace;
  std::size_t States = 0;
  /// True if no state was left out.
  bool Complete = false;
  /// True if in some state a later map than the first one ran in a step.
  bool Switched = false;
};

/// Visits the states that the state machines can reach, depth first. A
/// message, once sent, may arrive at any later moment, any number of times or
/// never, which covers loss, duplication, reordering, crashes and pauses.
ExplorerResult explore(const ExplorerSettings &settings);

} // namespace bergamot::experts

#endif
