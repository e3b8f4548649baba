#include "sidecar/groupview.h"

#include "libbergamotexperts/mapchange.h"

#include <algorithm>

namespace bergamot::sidecar {

using base::TimePoint;
using experts::GroupMap;
using experts::RankState;

namespace {

/// Maximum age of a rank's state for decisions on a change. An engine takes
/// some hundred milliseconds to respond to calls from another VM.
constexpr std::chrono::milliseconds MaxStateAge{1200};

} // namespace

void GroupView::setState(std::uint32_t rank, const RankState &state,
                         TimePoint readAt) {
  Ranks[rank].State = state;
  Ranks[rank].StateReadAt = readAt;
  Ranks[rank].Slowdown = state.Slowdown;
}

void GroupView::setMap(std::uint64_t version, const GroupMap &map) {
  for (std::uint32_t r = 0; r < Ranks.size(); ++r) {
    auto &expertIds = Ranks[r].ExpertIds;
    if (!expertIds || map.empty()) {
      expertIds.reset();
      continue;
    }
    expertIds->MapVersion = version;
    for (std::size_t s = 0; s < map.size(); ++s)
      expertIds->ExpertIds[s] = map[s][r];
  }
}

void GroupView::clearStates() {
  for (auto &it : Ranks)
    it.State.reset();
}

std::vector<RankState> GroupView::states() const {
  std::vector<RankState> all;
  for (const auto &it : Ranks)
    all.push_back(it.State.value_or(RankState()));
  return all;
}

bool GroupView::isResponsive(std::uint32_t rank, TimePoint now) const {
  const Rank &it = Ranks[rank];
  return it.State && it.State->GroupOpen && it.StateReadAt >= now - MaxStateAge;
}

bool GroupView::areResponsiveExceptLastArmed(TimePoint now) const {
  for (std::uint32_t i = 0; i < Ranks.size(); ++i)
    if (i != experts::LastArmedRank && !isResponsive(i, now))
      return false;
  return true;
}

bool GroupView::isSettled() const {
  const auto &first = Ranks.front().State;
  return std::all_of(Ranks.begin(), Ranks.end(), [&](const Rank &it) {
    return it.State && it.State->Epoch == first->Epoch && it.State->GroupOpen &&
           it.State->MapVersion == first->MapVersion && !it.State->Armed &&
           !it.State->HeldStep;
  });
}

bool GroupView::hasHeldStep() const {
  return std::any_of(Ranks.begin(), Ranks.end(), [](const Rank &it) {
    return it.State && it.State->HeldStep.has_value();
  });
}

bool GroupView::hasAllExpertIds() const {
  return std::all_of(Ranks.begin(), Ranks.end(),
                     [](const Rank &it) { return it.ExpertIds.has_value(); });
}

bool GroupView::hasExpertIdsOfResponsiveRanks(TimePoint now) const {
  for (std::uint32_t i = 0; i < Ranks.size(); ++i)
    if (!Ranks[i].ExpertIds && isResponsive(i, now))
      return false;
  return true;
}

bool GroupView::isMapCurrent() const {
  return std::all_of(Ranks.begin(), Ranks.end(), [](const Rank &it) {
    return it.ExpertIds && it.State && it.ExpertIds->Epoch == it.State->Epoch &&
           it.ExpertIds->MapVersion == it.State->MapVersion;
  });
}

GroupMap GroupView::map() const {
  GroupMap map(Sets);
  for (std::uint32_t s = 0; s < Sets; ++s) {
    std::vector<bool> isHeld(ExpertsPerSet, false);
    for (const auto &it : Ranks) {
      const bool known = it.ExpertIds && s < it.ExpertIds->ExpertIds.size();
      map[s].push_back(known ? it.ExpertIds->ExpertIds[s]
                             : std::vector<std::uint32_t>());
      for (const std::uint32_t expert : map[s].back())
        if (expert < isHeld.size())
          isHeld[expert] = true;
    }
    const auto unknown =
        std::find_if(Ranks.begin(), Ranks.end(),
                     [](const Rank &it) { return !it.ExpertIds; });
    if (unknown == Ranks.end())
      continue;
    auto &expertIds = map[s][static_cast<std::size_t>(unknown - Ranks.begin())];
    for (std::uint32_t e = 0; e < ExpertsPerSet; ++e)
      if (!isHeld[e])
        expertIds.push_back(e);
  }
  return map;
}

std::vector<double> GroupView::slowdowns() const {
  std::vector<double> slowdowns;
  for (const auto &it : Ranks)
    slowdowns.push_back(it.Slowdown < experts::SlowRankThreshold ? 1
                                                                 : it.Slowdown);
  return slowdowns;
}

std::uint64_t GroupView::highestVersion() const {
  std::uint64_t highest = 0;
  for (const auto &it : Ranks) {
    if (!it.State)
      continue;
    highest =
        std::max({highest, it.State->MapVersion, it.State->PreparedVersion});
    if (it.State->Armed)
      highest = std::max(highest, it.State->Armed->Version);
  }
  return highest;
}

} // namespace bergamot::sidecar
