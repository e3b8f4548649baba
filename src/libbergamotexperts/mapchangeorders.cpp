// Selects the orders to send and the states to read in each phase of a
// MapChange. The phase transitions are in mapchange.cpp.
#include "libbergamotexperts/mapchange.h"

namespace bergamot::experts {

using base::TimePoint;

RankOrder MapChange::order(OrderKind kind) const {
  RankOrder it;
  it.Kind = kind;
  it.Version = Version;
  it.Step = Step;
  it.Epoch = Epoch;
  return it;
}

RankOrder MapChange::fenceOrder() {
  RankOrder it = order(OrderKind::Prepare);
  it.Version = NextFenceVersion++;
  it.Map = Current;
  return it;
}

std::vector<AddressedOrder> MapChange::takeOrders(TimePoint now) {
  std::vector<AddressedOrder> orders;
  advance(now);
  if (CurrentOutcome != Outcome::Running)
    return orders;
  for (std::uint32_t i = 0; i < Ranks.size(); ++i) {
    if (Ranks[i].Outstanding || !Ranks[i].StateFresh)
      continue;
    auto next = nextOrder(i);
    if (!next)
      continue;
    if (CurrentPhase == Phase::RollingBack && next->Kind == OrderKind::Prepare)
      Ranks[i].SentFenceVersion = next->Version;
    Ranks[i].Outstanding = *next;
    orders.push_back({i, std::move(*next)});
  }
  return orders;
}

std::optional<RankOrder> MapChange::nextOrder(std::uint32_t index) {
  Rank &rank = Ranks[index];
  switch (CurrentPhase) {
  case Phase::Preparing:
    return nextPrepareOrder(rank);
  case Phase::ReadingStates:
    return std::nullopt;
  case Phase::Holding:
    if (index != holdRank())
      return std::nullopt;
    return order(OrderKind::Hold);
  case Phase::Arming:
    if (rank.Armed || !mayArm(index))
      return std::nullopt;
    return order(OrderKind::Arm);
  case Phase::Releasing:
    if (index != holdRank())
      return std::nullopt;
    return order(OrderKind::Release);
  case Phase::RollingBack:
    return nextRollbackOrder(index, rank);
  }
  return std::nullopt;
}

std::optional<RankOrder> MapChange::nextPrepareOrder(const Rank &rank) const {
  if (rank.Copying || rank.State.PreparedVersion == Version)
    return std::nullopt;
  RankOrder it = order(OrderKind::Prepare);
  it.Map = Next;
  return it;
}

std::optional<RankOrder> MapChange::nextRollbackOrder(std::uint32_t index,
                                                      const Rank &rank) {
  if (isRolledBack()) {
    if (index != holdRank())
      return std::nullopt;
    return order(OrderKind::Release);
  }
  if (rank.Fenced || rank.AcceptedFenceVersion != 0)
    return std::nullopt; // The rank's next state shows an accepted fence.
  if (!rank.State.Armed)
    return fenceOrder();
  if (!Blocked)
    return std::nullopt;
  RankOrder it = order(OrderKind::Disarm);
  it.Version = rank.State.Armed->Version;
  return it;
}

/// Returns whether the rank may be armed yet: HoldRank after the ranks with
/// higher numbers, and LastArmedRank after all others.
bool MapChange::mayArm(std::uint32_t index) const {
  return index > HoldRank || allRanks(&Rank::Armed, index + 1);
}

std::vector<std::uint32_t> MapChange::ranksToRead() const {
  std::vector<std::uint32_t> ranks;
  if (CurrentOutcome != Outcome::Running)
    return ranks;
  for (std::uint32_t i = 0; i < Ranks.size(); ++i) {
    const Rank &it = Ranks[i];
    const bool isCopying = CurrentPhase == Phase::Preparing && it.Copying &&
                           it.State.PreparedVersion != Version;
    const bool awaitsFence = it.AcceptedFenceVersion != 0 && !it.Fenced;
    // While rank 0 doesn't answer, the others' states show the actions of other
    // coordinators, such as releasing the step or disarming a rank.
    const bool awaitsRankZero =
        (CurrentPhase == Phase::Arming || CurrentPhase == Phase::RollingBack) &&
        !ranks.empty() && ranks.front() == LastArmedRank;
    if (!it.Outstanding &&
        (!it.StateFresh || isCopying || awaitsFence || awaitsRankZero))
      ranks.push_back(i);
  }
  return ranks;
}

} // namespace bergamot::experts
