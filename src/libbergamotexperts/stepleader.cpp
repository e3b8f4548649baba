#include "libbergamotexperts/stepleader.h"

#include "libbergamotbase/digest.h"

#include <algorithm>
#include <functional>

namespace bergamot::experts {

StepLeader::StepLeader(std::vector<Incarnation> incarnations,
                       FencingToken token, MapId initial)
    : GroupEpoch{token, 1}, ActiveMap(std::move(initial)),
      Incarnations(std::move(incarnations)), JoinReplies(Incarnations.size()),
      DoneByRank(Incarnations.size(), false),
      ReadyByRank(Incarnations.size(), false) {}

std::vector<OutgoingMessage> StepLeader::messages() const {
  std::vector<OutgoingMessage> out;
  for (std::uint32_t r = 0; r < JoinReplies.size(); ++r) {
    if (!AllJoined && !JoinReplies[r])
      out.push_back({r, JoinRequest{GroupEpoch, Incarnations[r]}});
    if (AllJoined && !DoneByRank[r])
      out.push_back(
          {r, StepStart{GroupEpoch, Step, ActiveMap, PreparingOrder.Map}});
  }
  return out;
}

void StepLeader::handleReplacement(std::uint32_t rank,
                                   Incarnation incarnation) {
  if (rank >= Incarnations.size() || incarnation <= Incarnations[rank])
    return;
  Incarnations[rank] = incarnation;
  ++GroupEpoch.Round;
  AllJoined = false;
  std::ranges::fill(JoinReplies, std::nullopt);
  // The replacement rank hasn't staged the map; the coordinator repeats its
  // order.
  QueuedOrder = {};
  PreparingOrder = {};
}

void StepLeader::handleReply(const JoinReply &reply) {
  if (AllJoined || reply.GroupEpoch != GroupEpoch ||
      reply.Rank >= JoinReplies.size() ||
      reply.RankIncarnation != Incarnations[reply.Rank])
    return;
  JoinReplies[reply.Rank] = reply;
  if (std::ranges::all_of(JoinReplies, [](const auto &join) { return !!join; }))
    finishJoin();
}

void StepLeader::finishJoin() {
  for (const auto &join : JoinReplies)
    if (join->LastStep > Step || (join->LastStep == Step && Step > 0)) {
      if (join->LastMap != ActiveMap)
        ActiveSinceStep = join->LastStep;
      Step = join->LastStep;
      ActiveMap = join->LastMap;
    }
  Step = std::max<std::uint64_t>(Step, 1);
  AllJoined = true;
  DoneByRank.assign(DoneByRank.size(), false);
  ReadyByRank.assign(ReadyByRank.size(), false);
}

std::optional<SwitchReply> StepLeader::handleReply(const StepDone &done) {
  if (!AllJoined || done.GroupEpoch != GroupEpoch || done.Step != Step ||
      done.Rank >= DoneByRank.size())
    return std::nullopt;
  DoneByRank[done.Rank] = true;
  ReadyByRank[done.Rank] =
      PreparingOrder.Map.Version != 0 && done.ReadyMap == PreparingOrder.Map;
  if (!std::ranges::all_of(DoneByRank, std::identity()))
    return std::nullopt;
  return finishStep();
}

std::optional<SwitchReply> StepLeader::finishStep() {
  std::optional<SwitchReply> activated;
  if (Step == ActiveSinceStep && ActiveOrderToken.Value != 0)
    activated = SwitchReply{GroupEpoch.Token, ActiveOrderToken, ActiveMap,
                            ActiveSinceStep};
  ++Step;
  // Unless all ranks are ready, the group stays on its current map.
  if (PreparingOrder.Map.Version != 0 &&
      std::ranges::all_of(ReadyByRank, std::identity())) {
    ActiveMap = PreparingOrder.Map;
    ActiveOrderToken = PreparingOrder.Token;
    ActiveSinceStep = Step;
  }
  PreparingOrder =
      QueuedOrder.Map.Version > ActiveMap.Version ? QueuedOrder : SwitchOrder{};
  QueuedOrder = {};
  DoneByRank.assign(DoneByRank.size(), false);
  ReadyByRank.assign(ReadyByRank.size(), false);
  return activated;
}

std::optional<SwitchReply> StepLeader::handleOrder(const SwitchOrder &order) {
  const bool stale =
      order.Token < HighestOrderToken || order.Map.Version <= ActiveMap.Version;
  HighestOrderToken = std::max(HighestOrderToken, order.Token);
  // Until all ranks have run a step with the map, a new leader could still drop
  // the switch.
  const bool mayBeDropped =
      Step == ActiveSinceStep && ActiveOrderToken.Value != 0;
  if (stale && mayBeDropped)
    return std::nullopt;
  if (stale)
    return SwitchReply{GroupEpoch.Token, HighestOrderToken, ActiveMap,
                       ActiveSinceStep};
  QueuedOrder = order;
  return std::nullopt;
}

void StepLeader::appendState(std::vector<std::uint64_t> &out) const {
  out.insert(out.end(), {GroupEpoch.Token.Value, GroupEpoch.Round,
                         ActiveMap.Version, base::xxHash64(ActiveMap.Hash),
                         Step, ActiveSinceStep, AllJoined ? 1ULL : 0ULL,
                         HighestOrderToken.Value, ActiveOrderToken.Value});
  for (const SwitchOrder *order : {&QueuedOrder, &PreparingOrder})
    out.insert(out.end(), {order->Token.Value, order->Map.Version,
                           base::xxHash64(order->Map.Hash)});
  for (std::size_t r = 0; r < JoinReplies.size(); ++r) {
    out.push_back(Incarnations[r].Value);
    out.push_back((DoneByRank[r] ? 1 : 0) + (ReadyByRank[r] ? 2 : 0) +
                  (JoinReplies[r] ? 4 : 0));
    if (JoinReplies[r])
      out.insert(out.end(), {JoinReplies[r]->LastStep,
                             JoinReplies[r]->RankIncarnation.Value,
                             JoinReplies[r]->LastMap.Version,
                             base::xxHash64(JoinReplies[r]->LastMap.Hash)});
  }
}

} // namespace bergamot::experts
