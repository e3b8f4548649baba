#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_ACTIVATIONRANK_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_ACTIVATIONRANK_H

#include "libbergamotexperts/activationmessages.h"

#include <optional>
#include <variant>
#include <vector>

namespace bergamot::experts {

/// Order to the engine of a rank: load a map beside the active one. The token
/// is for engines that honour it; the rank has checked it already.
struct EngineStage {
  FencingToken Token;
  MapId Map;
};

/// Order to the engine: run a step with the map of this hash. An engine that
/// has not loaded this hash refuses and runs nothing.
struct EngineRun {
  std::uint64_t Step = 0;
  MapId Map;
};

/// What a rank asks for: an order to its engine or a message.
using RankAction = std::variant<EngineStage, EngineRun, OutgoingMessage>;

/// The fence of one rank, run by its target daemon in front of the engine. It
/// refuses orders with stale tokens, whether or not the engine does, and runs
/// each step with exactly the map that the step leader names.
class ActivationRank {
public:
  /// Starts a life. The tokens are the newest ones of the group's coordinator
  /// and step leader in the log, relearned before any order is taken; without
  /// them, late messages of an old leader could recruit a replaced rank.
  ActivationRank(std::uint32_t rank, Incarnation incarnation,
                 FencingToken newestOrderToken, FencingToken newestLeaderToken);

  std::vector<RankAction> handleMessage(const StageOrder &order);
  std::vector<RankAction> handleMessage(const JoinRequest &request);
  std::vector<RankAction> handleMessage(const StepStart &start);
  /// Takes the engine's confirmation that a map is loaded, with the hash that
  /// the engine computed.
  std::vector<RankAction> handleEngineStaged(const MapId &map);
  /// Takes the engine's answer to EngineRun: done, or refused because the map
  /// isn't loaded. A refused step is staged and run again.
  std::vector<RankAction> handleEngineRan(std::uint64_t step, bool done);

  Incarnation incarnation() const { return RankIncarnation; }
  /// Returns the highest token of a coordinator seen so far.
  FencingToken newestOrderToken() const { return HighestOrderToken; }
  /// Returns the epoch that the rank has joined.
  const Epoch &epoch() const { return JoinedEpoch; }
  /// Returns the map that the engine holds beside the active one.
  const MapId &staged() const { return Staged; }

  /// Appends the complete state, for comparison of two machines.
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
  /// Map that was promised to the step leader in StepDone::Ready.
  MapId Pinned;
};

} // namespace bergamot::experts

#endif
