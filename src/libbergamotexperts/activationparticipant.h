#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_ACTIVATIONPARTICIPANT_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_ACTIVATIONPARTICIPANT_H

#include "libbergamotexperts/activationmessages.h"

#include <optional>
#include <variant>
#include <vector>

namespace bergamot::experts {

/// Command to a rank's engine: load a map next to the active one. The token has
/// already been checked; it is passed on for engines that check it too.
struct EngineStageCommand {
  FencingToken Token;
  MapId Map;
};

/// Command to a rank's engine: run a step with the map that has this hash. An
/// engine that hasn't loaded this map refuses the command and runs nothing.
struct EngineRunCommand {
  std::uint64_t Step = 0;
  MapId Map;
};

/// A command to the rank's engine or a message to send.
using RankAction =
    std::variant<EngineStageCommand, EngineRunCommand, OutgoingMessage>;

/// Takes part in map activations on behalf of one rank; runs in the target
/// daemon and passes commands on to the rank's engine. It refuses orders with
/// stale tokens, whether or not the engine does, and runs each step with
/// exactly the map that the step leader specifies.
class ActivationParticipant {
public:
  /// Starts an incarnation. The tokens are the newest ones of the group's
  /// coordinator and step leader in the log, read before any order is accepted;
  /// without them, late messages of a former leader could make a replacement
  /// rank join the former leader's epoch.
  ActivationParticipant(std::uint32_t rank, Incarnation incarnation,
                        FencingToken newestOrderToken,
                        FencingToken newestLeaderToken);

  std::vector<RankAction> handleMessage(const StageOrder &order);
  std::vector<RankAction> handleMessage(const JoinRequest &request);
  std::vector<RankAction> handleMessage(const StepStart &start);
  /// Handles the engine's confirmation that a map is loaded, with the hash that
  /// the engine computed.
  std::vector<RankAction> handleEngineStaged(const MapId &map);
  /// Handles the engine's reply to EngineRunCommand: done, or refused because
  /// the map isn't loaded. After a refusal the map is staged and the step is
  /// run again.
  std::vector<RankAction> handleEngineRan(std::uint64_t step, bool done);

  Incarnation incarnation() const { return RankIncarnation; }
  /// Returns the highest coordinator token seen so far.
  FencingToken newestOrderToken() const { return HighestOrderToken; }
  /// Returns the epoch that the rank has joined.
  const JoinEpoch &epoch() const { return JoinedEpoch; }
  /// Returns the map that the engine has loaded next to the active one.
  const MapId &staged() const { return Staged; }

  /// Appends the complete state, so that two state machines can be compared.
  void appendState(std::vector<std::uint64_t> &out) const;

private:
  RankAction makeStageReply(const MapId &map, bool staged) const;
  RankAction makeStepDone() const;

  std::uint32_t Rank;
  Incarnation RankIncarnation;
  FencingToken HighestOrderToken;
  JoinEpoch JoinedEpoch;
  std::uint64_t LastStep = 0;
  MapId LastMap;
  bool LastStepDone = false;
  MapId MapToPrepare;
  MapId Staged;
  MapId Staging;
  /// Map that was reported to the step leader in StepDone::ReadyMap. It must
  /// stay loaded, so no other map may be staged meanwhile.
  MapId Pinned;
};

} // namespace bergamot::experts

#endif
