#include "libbergamotexperts/stepleader.h"

#include "libbergamotbase/digest.h"

#include <algorithm>
#include <functional>

namespace bergamot::experts {

StepLeader::StepLeader(std::vector<Incarnation> lives, FencingToken token,
                       MapId initial)
    : At{token, 1}, Active(std::move(initial)), Lives(std::move(lives)),
      Joins(Lives.size()), Done(Lives.size(), false),
      Ready(Lives.size(), false) {}

std::vector<Outgoing> StepLeader::messages() const {
  std::vector<Outgoing> out;
  for (std::uint32_t r = 0; r < Joins.size(); ++r) {
    if (!Joined && !Joins[r])
      out.push_back({r, JoinQuery{At, Lives[r]}});
    if (Joined && !Done[r])
      out.push_back({r, StepStart{At, Step, Active, Wanted.Map}});
  }
  return out;
}

void StepLeader::setReplaced(std::uint32_t rank, Incarnation life) {
  if (rank >= Lives.size() || life <= Lives[rank])
    return;
  Lives[rank] = life;
  ++At.Round;
  Joined = false;
  std::ranges::fill(Joins, std::nullopt);
  // The replaced rank has not staged the map; the coordinator orders again.
  Queued = {};
  Wanted = {};
}

void StepLeader::setReply(const JoinReply &reply) {
  if (Joined || reply.At != At || reply.Rank >= Joins.size() ||
      reply.Life != Lives[reply.Rank])
    return;
  Joins[reply.Rank] = reply;
  if (std::ranges::all_of(Joins, [](const auto &join) { return !!join; }))
    finishJoin();
}

void StepLeader::finishJoin() {
  for (const auto &join : Joins)
    if (join->LastStep > Step || (join->LastStep == Step && Step > 0)) {
      if (join->LastMap != Active)
        ActiveSince = join->LastStep;
      Step = join->LastStep;
      Active = join->LastMap;
    }
  Step = std::max<std::uint64_t>(Step, 1);
  Joined = true;
  Done.assign(Done.size(), false);
  Ready.assign(Ready.size(), false);
}

std::optional<SwitchReply> StepLeader::setReply(const StepDone &done) {
  if (!Joined || done.At != At || done.Step != Step || done.Rank >= Done.size())
    return std::nullopt;
  Done[done.Rank] = true;
  Ready[done.Rank] = Wanted.Map.Version != 0 && done.Ready == Wanted.Map;
  if (!std::ranges::all_of(Done, std::identity()))
    return std::nullopt;
  return finishStep();
}

std::optional<SwitchReply> StepLeader::finishStep() {
  std::optional<SwitchReply> inForce;
  if (Step == ActiveSince && ActiveToken.Value != 0)
    inForce = SwitchReply{At.Token, ActiveToken, Active, ActiveSince};
  ++Step;
  // Without all confirmations the group keeps its map.
  if (Wanted.Map.Version != 0 && std::ranges::all_of(Ready, std::identity())) {
    Active = Wanted.Map;
    ActiveToken = Wanted.Token;
    ActiveSince = Step;
  }
  Wanted = Queued.Map.Version > Active.Version ? Queued : SwitchOrder{};
  Queued = {};
  Done.assign(Done.size(), false);
  Ready.assign(Ready.size(), false);
  return inForce;
}

std::optional<SwitchReply> StepLeader::setOrder(const SwitchOrder &order) {
  const bool stale =
      order.Token < HighestOrder || order.Map.Version <= Active.Version;
  HighestOrder = std::max(HighestOrder, order.Token);
  // Until all ranks have run it, a new leader could still drop the switch.
  const bool droppable = Step == ActiveSince && ActiveToken.Value != 0;
  if (stale && droppable)
    return std::nullopt;
  if (stale)
    return SwitchReply{At.Token, HighestOrder, Active, ActiveSince};
  Queued = order;
  return std::nullopt;
}

void StepLeader::addState(std::vector<std::uint64_t> &out) const {
  out.insert(out.end(),
             {At.Token.Value, At.Round, Active.Version,
              base::xxHash64(Active.Hash), Step, ActiveSince,
              Joined ? 1ULL : 0ULL, HighestOrder.Value, ActiveToken.Value});
  for (const SwitchOrder *order : {&Queued, &Wanted})
    out.insert(out.end(), {order->Token.Value, order->Map.Version,
                           base::xxHash64(order->Map.Hash)});
  for (std::size_t r = 0; r < Joins.size(); ++r) {
    out.push_back(Lives[r].Value);
    out.push_back((Done[r] ? 1 : 0) + (Ready[r] ? 2 : 0) + (Joins[r] ? 4 : 0));
    if (Joins[r])
      out.insert(out.end(), {Joins[r]->LastStep, Joins[r]->Life.Value,
                             Joins[r]->LastMap.Version,
                             base::xxHash64(Joins[r]->LastMap.Hash)});
  }
}

} // namespace bergamot::experts
