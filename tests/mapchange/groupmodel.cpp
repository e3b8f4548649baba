#include "groupmodel.h"

namespace bergamot::experts {

bool GroupModel::execute(std::uint32_t index, const RankOrder &order) {
  if (order.Epoch != Epoch)
    return false;
  Rank &rank = Ranks[index];
  switch (order.Kind) {
  case OrderKind::Prepare:
    return prepare(rank, order);
  case OrderKind::Arm:
    return arm(rank, order);
  case OrderKind::Disarm:
    return disarm(rank, order);
  case OrderKind::Hold:
    return hold(rank, order);
  case OrderKind::Release:
    if (rank.Held == order.Step)
      rank.Held.reset();
    return true;
  }
  return false;
}

bool GroupModel::prepare(Rank &rank, const RankOrder &order) {
  if (rank.Armed || order.Version <= rank.HighestVersion)
    return false;
  rank.HighestVersion = order.Version;
  rank.Copying = order.Version;
  rank.CopyingMap = order.Map;
  // A new version makes the previously prepared one unusable at once.
  rank.Prepared = 0;
  return true;
}

bool GroupModel::arm(Rank &rank, const RankOrder &order) const {
  const ArmedSwitch wanted{order.Version, order.Step};
  if (rank.Armed == wanted)
    return true;
  if (rank.Armed || rank.Prepared != order.Version || Step >= order.Step)
    return false;
  rank.Armed = wanted;
  return true;
}

bool GroupModel::disarm(Rank &rank, const RankOrder &order) const {
  if (rank.MapVersion == order.Version)
    return false;
  if (rank.Armed && rank.Armed->Version == order.Version)
    rank.Armed.reset();
  return true;
}

bool GroupModel::hold(Rank &rank, const RankOrder &order) const {
  if (rank.Held)
    return rank.Held == order.Step;
  if (Step >= order.Step)
    return false;
  rank.Held = order.Step;
  return true;
}

bool GroupModel::isHeld() const {
  for (const auto &it : Ranks)
    if (it.Held)
      return true;
  return false;
}

bool GroupModel::beginStep() {
  for (const auto &it : Ranks)
    if (it.Held == Step + 1)
      return false;
  ++Step;
  for (auto &it : Ranks) {
    if (!it.Armed || it.Armed->Step != Step)
      continue;
    it.MapVersion = it.Armed->Version;
    it.Map = it.PreparedMap;
    it.Armed.reset();
  }
  for (const auto &it : Ranks)
    if (it.MapVersion != Ranks.front().MapVersion ||
        it.Map != Ranks.front().Map)
      Violation = "step " + std::to_string(Step) + " began with two maps";
  return true;
}

void GroupModel::finishCopy(std::uint32_t index) {
  Rank &rank = Ranks[index];
  if (rank.Copying == 0)
    return;
  rank.Prepared = rank.Copying;
  rank.PreparedMap = rank.CopyingMap;
  rank.Copying = 0;
}

void GroupModel::restart() {
  Ranks.assign(Ranks.size(), Rank());
  ++Epoch;
}

RankState GroupModel::state(std::uint32_t index) const {
  const Rank &rank = Ranks[index];
  RankState state;
  state.Group = "g";
  state.Rank = index;
  state.GroupSize = rankCount();
  state.Epoch = Epoch;
  state.GroupOpen = true;
  state.Step = Step;
  state.MapVersion = rank.MapVersion;
  state.PreparedVersion = rank.Prepared;
  state.Armed = rank.Armed;
  state.HeldStep = rank.Held;
  return state;
}

} // namespace bergamot::experts
