#include "libbergamotexperts/activationcoordinator.h"

#include "libbergamotbase/digest.h"

#include <algorithm>

namespace bergamot::experts {

ActivationCoordinator::ActivationCoordinator(std::uint32_t ranks,
                                             FencingToken token, MapId map,
                                             base::TimePoint deadline)
    : Token(token), Map(std::move(map)), Deadline(deadline), Ranks(ranks) {}

bool ActivationCoordinator::allStaged() const {
  return std::ranges::all_of(Ranks, &Confirmation::Staged);
}

std::vector<Outgoing> ActivationCoordinator::orders(base::TimePoint now) {
  std::vector<Outgoing> out;
  if (Outcome == ActivationOutcome::Running && now >= Deadline)
    Outcome = ActivationOutcome::Abandoned;
  if (Outcome != ActivationOutcome::Running)
    return out;
  for (std::uint32_t r = 0; r < Ranks.size(); ++r)
    if (!Ranks[r].Staged)
      out.push_back({r, StageOrder{Token, Map}});
  if (out.empty())
    out.push_back({ToLeader, SwitchOrder{Token, Map}});
  return out;
}

void ActivationCoordinator::setReply(const StageReply &reply) {
  if (reply.Token > Token && Outcome == ActivationOutcome::Running)
    Outcome = ActivationOutcome::Superseded;
  if (reply.Token != Token || reply.Map != Map || reply.Rank >= Ranks.size())
    return;
  Confirmation &rank = Ranks[reply.Rank];
  if (reply.Life < rank.Life)
    return;
  rank = {reply.Life, reply.Staged};
}

void ActivationCoordinator::setReply(const SwitchReply &reply) {
  if (Outcome != ActivationOutcome::Running)
    return;
  if (reply.Map == Map) {
    Outcome = ActivationOutcome::InForce;
    Step = reply.Step;
  } else if (reply.Token > Token || reply.Map.Version >= Map.Version) {
    Outcome = ActivationOutcome::Superseded;
  }
}

void ActivationCoordinator::setReplaced(std::uint32_t rank, Incarnation life) {
  if (rank < Ranks.size() && life > Ranks[rank].Life)
    Ranks[rank] = {life, false};
}

void ActivationCoordinator::addState(std::vector<std::uint64_t> &out) const {
  out.insert(out.end(), {Token.Value, Map.Version, base::xxHash64(Map.Hash),
                         static_cast<std::uint64_t>(Outcome), Step});
  for (const Confirmation &rank : Ranks)
    out.push_back(rank.Life.Value * 2 + (rank.Staged ? 1 : 0));
}

} // namespace bergamot::experts
