#include "libbergamotexperts/activationrank.h"

#include "libbergamotbase/digest.h"

#include <algorithm>

namespace bergamot::experts {

ActivationRank::ActivationRank(std::uint32_t rank, Incarnation life,
                               FencingToken newestOrder,
                               FencingToken newestLeader)
    : Rank(rank), Life(life),
      HighestOrder(newestOrder), Joined{newestLeader, 0} {}

RankAction ActivationRank::stageReply(const MapId &map, bool staged) const {
  return Outgoing{ToCoordinator,
                  StageReply{Rank, Life, HighestOrder, map, staged}};
}

RankAction ActivationRank::stepDone() const {
  return Outgoing{ToLeader, StepDone{Joined, Rank, Life, LastStep, Pinned}};
}

std::vector<RankAction> ActivationRank::setMessage(const StageOrder &order) {
  if (order.Token < HighestOrder)
    return {stageReply(order.Map, false)};
  HighestOrder = order.Token;
  if (order.Map == Staged || order.Map == LastMap)
    return {stageReply(order.Map, true)};
  // The one staging buffer is promised to a switch that may be decided, or a
  // step waits for the map that is being fetched into it.
  const bool fetching = Staging.Version != 0 && Staging == LastMap;
  if (Pinned.Version != 0 || fetching)
    return {stageReply(order.Map, false)};
  Staging = order.Map;
  Staged = {};
  return {EngineStage{HighestOrder, Staging}};
}

std::vector<RankAction> ActivationRank::setEngineStaged(const MapId &map) {
  if (map != Staging)
    return {};
  Staged = map;
  Staging = {};
  if (LastStep > 0 && !LastDone && LastMap == map)
    return {EngineRun{LastStep, LastMap}};
  return {stageReply(map, true)};
}

std::vector<RankAction> ActivationRank::setMessage(const JoinQuery &query) {
  if (query.At < Joined || query.Life != Life)
    return {};
  Joined = query.At;
  return {Outgoing{ToLeader, JoinReply{Joined, Rank, Life, LastStep, LastMap}}};
}

std::vector<RankAction> ActivationRank::setMessage(const StepStart &start) {
  if (start.At != Joined || start.Step < LastStep)
    return {};
  if (start.Step == LastStep && LastDone)
    return {stepDone()};
  const bool repeated = start.Step == LastStep;
  LastStep = start.Step;
  LastMap = start.Map;
  LastDone = false;
  Prepare = start.Prepare;
  Pinned = {};
  // The engine's answer may be lost, and fetching by hash is idempotent.
  if (repeated && Staging == LastMap && Staging.Version != 0)
    return {EngineStage{HighestOrder, Staging}};
  return {EngineRun{LastStep, LastMap}};
}

std::vector<RankAction> ActivationRank::setEngineRan(std::uint64_t step,
                                                     bool done) {
  if (step != LastStep || LastDone)
    return {};
  if (!done) {
    Staging = LastMap;
    Staged = {};
    return {EngineStage{HighestOrder, Staging}};
  }
  LastDone = true;
  if (Staged == LastMap)
    Staged = {};
  if (Prepare.Version != 0 && Prepare == Staged)
    Pinned = Staged;
  return {stepDone()};
}

void ActivationRank::addState(std::vector<std::uint64_t> &out) const {
  out.insert(out.end(), {Life.Value, HighestOrder.Value, Joined.Token.Value,
                         Joined.Round, LastStep, LastDone ? 1ULL : 0ULL});
  for (const MapId *map : {&LastMap, &Prepare, &Staged, &Staging, &Pinned})
    out.insert(out.end(), {map->Version, base::xxHash64(map->Hash)});
}

} // namespace bergamot::experts
