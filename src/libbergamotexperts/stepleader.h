#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_STEPLEADER_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_STEPLEADER_H

#include "libbergamotexperts/activationmessages.h"

#include <optional>
#include <vector>

namespace bergamot::experts {

/// Starts the steps of a group and alone decides when to switch maps; it runs
/// next to rank 0. Each StepStart contains the map, so a switch reaches the
/// ranks with a message that the lockstep needs anyway.
///
/// A new leader, or a leader with a replaced rank in its group, first makes all
/// ranks join a new epoch. From then on the ranks refuse older epochs. Each
/// rank reports its newest step, and the leader runs the newest step of all
/// ranks again with the same map. Thus a step that any rank has run retains its
/// map, and a switch that no rank has run is dropped.
class StepLeader {
public:
  /// Starts under a lease on the leader role. `initial` is the newest map that
  /// the audit stream records as active; it is used if no rank reports a step,
  /// as in a new group or after all ranks were replaced. `incarnations` are the
  /// ranks' incarnations as their connections report them.
  StepLeader(std::vector<Incarnation> incarnations, FencingToken token,
             MapId initial);

  /// Returns the unanswered messages, to be sent now and again after each retry
  /// interval.
  std::vector<OutgoingMessage> messages() const;
  /// Starts a new epoch because a rank was replaced. Does nothing if this or a
  /// newer incarnation of the rank is already known.
  void handleReplacement(std::uint32_t rank, Incarnation incarnation);
  void handleReply(const JoinReply &reply);
  /// Handles a rank's StepDone. Returns the switch once all ranks have run the
  /// first step with the new map, since no new leader can drop it from then on.
  std::optional<SwitchReply> handleReply(const StepDone &done);
  /// Handles an order to switch. An order with an older token or version is
  /// refused with a reply that contains the active map. The map of an
  /// accepted order is prepared during the next step; the group switches if all
  /// ranks are ready at the end of that step, otherwise the order is dropped.
  std::optional<SwitchReply> handleOrder(const SwitchOrder &order);

  /// Returns the running step; 0 while ranks are joining an epoch.
  std::uint64_t step() const { return AllJoined ? Step : 0; }
  const MapId &map() const { return ActiveMap; }
  const JoinEpoch &epoch() const { return GroupEpoch; }

  /// Appends the complete state, so that two state machines can be compared.
  void appendState(std::vector<std::uint64_t> &out) const;

private:
  void finishJoin();
  std::optional<SwitchReply> finishStep();

  JoinEpoch GroupEpoch;
  MapId ActiveMap;
  /// Accepted order waiting for the next step.
  SwitchOrder QueuedOrder;
  /// Order whose map is prepared during the running step.
  SwitchOrder PreparingOrder;
  FencingToken ActiveOrderToken;
  std::uint64_t Step = 0;
  std::uint64_t ActiveSinceStep = 1;
  bool AllJoined = false;
  std::vector<Incarnation> Incarnations;
  std::vector<std::optional<JoinReply>> JoinReplies;
  std::vector<bool> DoneByRank;
  std::vector<bool> ReadyByRank;
  FencingToken HighestOrderToken;
};

} // namespace bergamot::experts

#endif
