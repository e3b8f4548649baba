#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_ACTIVATIONCOORDINATOR_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_ACTIVATIONCOORDINATOR_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotexperts/activationmessages.h"

#include <optional>
#include <vector>

namespace bergamot::experts {

/// Outcome of a map activation.
enum class ActivationOutcome { Running, Activated, Superseded, Abandoned };

/// Stages one map on all ranks of a group and asks the step leader to switch to
/// it. This protocol is for engines that run each step on an order of a
/// StepLeader; MapChange is for engines that begin steps by themselves. The
/// step leader makes all decisions, so neither a second coordinator nor the
/// lack of one does harm. Orders are idempotent and are repeated until they are
/// answered.
class ActivationCoordinator {
public:
  /// Starts an activation under a lease. The coordinator stops at the lease's
  /// deadline; a map that isn't active by then is abandoned.
  ActivationCoordinator(std::uint32_t ranks, FencingToken token, MapId map,
                        base::TimePoint deadline);

  /// Returns the unanswered orders, to be sent now and again after each retry
  /// interval. Returns nothing after the deadline or once the outcome is known.
  std::vector<OutgoingMessage> orders(base::TimePoint now);
  /// Handles a rank's reply. A confirmation is valid for one incarnation of the
  /// rank only.
  void handleReply(const StageReply &reply);
  /// Handles the step leader's reply.
  void handleReply(const SwitchReply &reply);
  /// Handles the replacement of a rank, which has to stage the map again.
  void handleReplacement(std::uint32_t rank, Incarnation incarnation);

  ActivationOutcome outcome() const { return Outcome; }
  /// Returns the first step that uses the map; 0 until the map is active.
  std::uint64_t switchStep() const { return SwitchStep; }
  /// Returns whether all ranks have confirmed the map.
  bool allStaged() const;

  /// Appends the complete state, so that two state machines can be compared.
  void appendState(std::vector<std::uint64_t> &out) const;

private:
  struct Confirmation {
    Incarnation RankIncarnation;
    bool Staged = false;
  };

  FencingToken Token;
  MapId Map;
  base::TimePoint Deadline;
  std::vector<Confirmation> Ranks;
  ActivationOutcome Outcome = ActivationOutcome::Running;
  std::uint64_t SwitchStep = 0;
};

} // namespace bergamot::experts

#endif
