#include "libbergamotexperts/activationparticipant.h"

#include "libbergamotbase/digest.h"

#include <algorithm>

namespace bergamot::experts {

ActivationParticipant::ActivationParticipant(std::uint32_t rank,
                                             Incarnation incarnation,
                                             FencingToken newestOrderToken,
                                             FencingToken newestLeaderToken)
    : Rank(rank), RankIncarnation(incarnation),
      HighestOrderToken(newestOrderToken), JoinedEpoch{newestLeaderToken, 0} {}

RankAction ActivationParticipant::makeStageReply(const MapId &map,
                                                 bool staged) const {
  return OutgoingMessage{
      ToCoordinator,
      StageReply{Rank, RankIncarnation, HighestOrderToken, map, staged}};
}

RankAction ActivationParticipant::makeStepDone() const {
  return OutgoingMessage{
      ToLeader, StepDone{JoinedEpoch, Rank, RankIncarnation, LastStep, Pinned}};
}

std::vector<RankAction>
ActivationParticipant::handleMessage(const StageOrder &order) {
  if (order.Token < HighestOrderToken)
    return {makeStageReply(order.Map, false)};
  HighestOrderToken = order.Token;
  if (order.Map == Staged || order.Map == LastMap)
    return {makeStageReply(order.Map, true)};
  // The single staging buffer is reserved for a pending switch, or holds a map
  // that is being fetched for the current step.
  const bool fetching = Staging.Version != 0 && Staging == LastMap;
  if (Pinned.Version != 0 || fetching)
    return {makeStageReply(order.Map, false)};
  Staging = order.Map;
  Staged = {};
  return {EngineStageCommand{HighestOrderToken, Staging}};
}

std::vector<RankAction>
ActivationParticipant::handleEngineStaged(const MapId &map) {
  if (map != Staging)
    return {};
  Staged = map;
  Staging = {};
  if (LastStep > 0 && !LastStepDone && LastMap == map)
    return {EngineRunCommand{LastStep, LastMap}};
  return {makeStageReply(map, true)};
}

std::vector<RankAction>
ActivationParticipant::handleMessage(const JoinRequest &request) {
  if (request.GroupEpoch < JoinedEpoch ||
      request.RankIncarnation != RankIncarnation)
    return {};
  JoinedEpoch = request.GroupEpoch;
  return {
      OutgoingMessage{ToLeader, JoinReply{JoinedEpoch, Rank, RankIncarnation,
                                          LastStep, LastMap}}};
}

std::vector<RankAction>
ActivationParticipant::handleMessage(const StepStart &start) {
  if (start.GroupEpoch != JoinedEpoch || start.Step < LastStep)
    return {};
  if (start.Step == LastStep && LastStepDone)
    return {makeStepDone()};
  const bool repeated = start.Step == LastStep;
  LastStep = start.Step;
  LastMap = start.Map;
  LastStepDone = false;
  MapToPrepare = start.MapToPrepare;
  Pinned = {};
  // The engine's reply may have been lost; fetching by hash is idempotent.
  if (repeated && Staging == LastMap && Staging.Version != 0)
    return {EngineStageCommand{HighestOrderToken, Staging}};
  return {EngineRunCommand{LastStep, LastMap}};
}

std::vector<RankAction>
ActivationParticipant::handleEngineRan(std::uint64_t step, bool done) {
  if (step != LastStep || LastStepDone)
    return {};
  if (!done) {
    Staging = LastMap;
    Staged = {};
    return {EngineStageCommand{HighestOrderToken, Staging}};
  }
  LastStepDone = true;
  if (Staged == LastMap)
    Staged = {};
  if (MapToPrepare.Version != 0 && MapToPrepare == Staged)
    Pinned = Staged;
  return {makeStepDone()};
}

void ActivationParticipant::appendState(std::vector<std::uint64_t> &out) const {
  out.insert(out.end(), {RankIncarnation.Value, HighestOrderToken.Value,
                         JoinedEpoch.Token.Value, JoinedEpoch.Round, LastStep,
                         LastStepDone ? 1ULL : 0ULL});
  for (const MapId *map : {&LastMap, &MapToPrepare, &Staged, &Staging, &Pinned})
    out.insert(out.end(), {map->Version, base::xxHash64(map->Hash)});
}

} // namespace bergamot::experts
