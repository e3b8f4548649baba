#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_ACTIVATIONCOORDINATOR_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_ACTIVATIONCOORDINATOR_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotexperts/activationmessages.h"

#include <optional>
#include <vector>

namespace bergamot::experts {

/// How a change of the map ended.
enum class ActivationOutcome { Running, Activated, Superseded, Abandoned };

/// Stages one map at all ranks of a group and asks the step leader to switch.
/// It decides nothing itself: a second coordinator, or none, is harmless.
/// Orders are repeated until answered, as each of them is idempotent.
class ActivationCoordinator {
public:
  /// Starts a change under a lease. The holder stops at the lease's deadline;
  /// a change that isn't in force then is abandoned.
  ActivationCoordinator(std::uint32_t ranks, FencingToken token, MapId map,
                        base::TimePoint deadline);

  /// Returns the orders that lack an answer, to be sent now and again after
  /// each retry interval. Nothing is returned after the deadline or the end.
  std::vector<OutgoingMessage> orders(base::TimePoint now);
  /// Takes a rank's answer. A confirmation holds for one life of the rank.
  void handleReply(const StageReply &reply);
  /// Takes the step leader's answer.
  void handleReply(const SwitchReply &reply);
  /// Records that a rank was replaced; it has to stage the map again.
  void handleReplacement(std::uint32_t rank, Incarnation incarnation);

  ActivationOutcome outcome() const { return Outcome; }
  /// Returns the step from which the map is in force; 0 before it is.
  std::uint64_t switchStep() const { return Step; }
  /// Returns whether all ranks have confirmed the map.
  bool allStaged() const;

  /// Appends the complete state, for comparison of two machines.
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
  std::uint64_t Step = 0;
};

} // namespace bergamot::experts

#endif
