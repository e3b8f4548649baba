#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_ACTIVATIONRANK_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_ACTIVATIONRANK_H

#include "libbergamotexperts/activationmessages.h"

#include <optional>
#include <variant>
#include <vector>

namespace bergamot::experts {

/// Order to a rank's engine: load a map next to the active one. The rank has
/// already checked the token, which is passed on for engines that check it too.
struct EngineStage {
  FencingToken Token;
  MapId Map;
};

/// Order to a rank's engine: run a step with the map that has this hash. An
/// engine that hasn't loaded this map refuses the order and runs nothing.
struct EngineRun {
  std::uint64_t Step = 0;
  MapId Map;
};

/// An order to the rank's engine or a message to send.
using RankAction = std::variant<EngineStage, EngineRun, OutgoingMessage>;

/// Fences the engine of one rank; runs in the target daemon. It refuses orders
/// with stale tokens, whether or not the engine does, and runs each step with
/// exactly the map that the step leader specifies.
class ActivationRank {
public:
  /// Starts an incarnation. The tokens are the newest ones of the group's
  /// coordinator and step leader in the log, read before any order is accepted;
  /// without them, late messages of a former leader could make a replacement
  /// rank join its epoch.
  ActivationRank(std::uint32_t rank, Incarnation incarnation,
                 FencingToken newestOrderToken, FencingToken newestLeaderToken);

  std::vector<RankAction> handleMessage(const StageOrder &order);
  std::vector<RankAction> handleMessage(const JoinRequest &request);
  std::vector<RankAction> handleMessage(const StepStart &start);
  /// Handles the engine's confirmation that a map is loaded, with the hash that
  /// the engine computed.
  std::vector<RankAction> handleEngineStaged(const MapId &map);
  /// Handles the engine's reply to EngineRun: done, or refused because the map
  /// isn't loaded. After a refusal the map is staged and the step is run again.
  std::vector<RankAction> handleEngineRan(std::uint64_t step, bool done);

  Incarnation incarnation() const { return RankIncarnation; }
  /// Returns the highest coordinator token seen so far.
  FencingToken newestOrderToken() const { return HighestOrderToken; }
  /// Returns the epoch that the rank has joined.
  const Epoch &epoch() const { return JoinedEpoch; }
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
  Epoch JoinedEpoch;
  std::uint64_t LastStep = 0;
  MapId LastMap;
  bool LastStepDone = false;
  MapId MapToPrepare;
  MapId Staged;
  MapId Staging;
  /// Map that was reported to the step leader in StepDone::Ready.
  MapId Pinned;
};

} // namespace bergamot::experts

#endif
