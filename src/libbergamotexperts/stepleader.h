#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_STEPLEADER_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_STEPLEADER_H

#include "libbergamotexperts/activationmessages.h"

#include <optional>
#include <vector>

namespace bergamot::experts {

/// Starts the steps of a group and is the only place where a switch is
/// decided; it runs beside rank 0. It names the map in each StepStart, so the
/// decision reaches the ranks with the message that the lock-step waits for
/// anyway.
///
/// A new leader, and a leader whose group got a replaced rank, first joins all
/// ranks in a new epoch. Ranks refuse older epochs from then on, and report
/// their newest step, which the leader repeats with the same map. So a step
/// that any rank ran keeps its map, and a switch that no rank ran is dropped.
class StepLeader {
public:
  /// Starts with a lease on the leader's role. `initial` is the newest map that
  /// the audit stream records as in force; it counts if no rank remembers a
  /// step, as in a new group or after all ranks were replaced.
  /// `lives` are the incarnations of the ranks as their connections state them.
  StepLeader(std::vector<Incarnation> incarnations, FencingToken token,
             MapId initial);

  /// Returns the messages that lack an answer, to be sent now and again after
  /// each retry interval.
  std::vector<OutgoingMessage> messages() const;
  /// Starts a new epoch because a rank was replaced. Nothing happens if this
  /// life of the rank, or a newer one, is known.
  void handleReplacement(std::uint32_t rank, Incarnation incarnation);
  void handleReply(const JoinReply &reply);
  /// Takes a rank's StepDone. Returns the switch when all ranks have run the
  /// first step with the new map: from then on no new leader can miss it.
  std::optional<SwitchReply> handleReply(const StepDone &done);
  /// Takes an order to switch. An older token or version is refused with the
  /// map in force. An accepted order is prepared in the next step, decided if
  /// all ranks are ready at its end, and otherwise dropped.
  std::optional<SwitchReply> handleOrder(const SwitchOrder &order);

  /// Returns the step that is running; 0 while an epoch is being joined.
  std::uint64_t step() const { return AllJoined ? Step : 0; }
  const MapId &map() const { return ActiveMap; }
  const Epoch &epoch() const { return GroupEpoch; }

  /// Appends the complete state, for comparison of two machines.
  void appendState(std::vector<std::uint64_t> &out) const;

private:
  void finishJoin();
  std::optional<SwitchReply> finishStep();

  Epoch GroupEpoch;
  MapId ActiveMap;
  /// Accepted order that waits for the next step.
  SwitchOrder Queued;
  /// Order that the running step prepares.
  SwitchOrder Preparing;
  FencingToken ActiveOrderToken;
  std::uint64_t Step = 0;
  std::uint64_t ActiveSinceStep = 1;
  bool AllJoined = false;
  std::vector<Incarnation> Incarnations;
  std::vector<std::optional<JoinReply>> JoinReplies;
  std::vector<bool> Done;
  std::vector<bool> Ready;
  FencingToken HighestOrderToken;
};

} // namespace bergamot::experts

#endif
