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

std::vector<OutgoingMessage>
ActivationCoordinator::orders(base::TimePoint now) {
  std::vector<OutgoingMessage> out;
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

void ActivationCoordinator::handleReply(const StageReply &reply) {
  if (reply.Token > Token && Outcome == ActivationOutcome::Running)
    Outcome = ActivationOutcome::Superseded;
  if (reply.Token != Token || reply.Map != Map || reply.Rank >= Ranks.size())
    return;
  Confirmation &rank = Ranks[reply.Rank];
  if (reply.RankIncarnation < rank.RankIncarnation)
    return;
  rank = {reply.RankIncarnation, reply.Staged};
}

void ActivationCoordinator::handleReply(const SwitchReply &reply) {
  if (Outcome != ActivationOutcome::Running)
    return;
  if (reply.Map == Map) {
    Outcome = ActivationOutcome::Activated;
    SwitchStep = reply.Step;
  } else if (reply.OrderToken > Token || reply.Map.Version >= Map.Version) {
    Outcome = ActivationOutcome::Superseded;
  }
}

void ActivationCoordinator::handleReplacement(std::uint32_t rank,
                                              Incarnation incarnation) {
  if (rank < Ranks.size() && incarnation > Ranks[rank].RankIncarnation)
    Ranks[rank] = {incarnation, false};
}

void ActivationCoordinator::appendState(std::vector<std::uint64_t> &out) const {
  out.insert(out.end(), {Token.Value, Map.Version, base::xxHash64(Map.Hash),
                         static_cast<std::uint64_t>(Outcome), SwitchStep});
  for (const Confirmation &rank : Ranks)
    out.push_back(rank.RankIncarnation.Value * 2 + (rank.Staged ? 1 : 0));
}

} // namespace bergamot::experts
