#ifndef BERGAMOT_SIDECAR_GROUPVIEW_H
#define BERGAMOT_SIDECAR_GROUPVIEW_H

#include "libbergamotexperts/rankstate.h"
#include "sidecar/rankclient.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bergamot::sidecar {

/// A coordinator's view of its group: the last reported state and expert IDs of
/// each rank.
class GroupView {
public:
  /// `sets` and `expertsPerSet` are the dimensions of the group's maps.
  GroupView(std::size_t ranks, std::uint32_t sets, std::uint32_t expertsPerSet)
      : Sets(sets), ExpertsPerSet(expertsPerSet), Ranks(ranks) {}

  void setState(std::uint32_t rank, const experts::RankState &state,
                base::TimePoint readAt);
  void setExpertIds(std::uint32_t rank, const RankExpertIds &expertIds) {
    Ranks[rank].ExpertIds = expertIds;
  }
  /// Sets the map that the group switches to. An empty map makes the expert IDs
  /// of all ranks unknown, so that they have to be read again.
  void setMap(std::uint64_t version, const experts::GroupMap &map);
  void clearStates();

  /// Returns a rank's last state; std::nullopt if unknown or cleared.
  const std::optional<experts::RankState> &state(std::uint32_t rank) const {
    return Ranks[rank].State;
  }
  /// Returns the states of all ranks, default-constructed where unknown.
  std::vector<experts::RankState> states() const;
  /// Returns whether a rank has responded recently and reported that the group
  /// is open.
  bool isResponsive(std::uint32_t rank, base::TimePoint now) const;
  /// Returns whether all ranks except experts::LastArmedRank are responsive.
  bool areResponsiveExceptLastArmed(base::TimePoint now) const;
  /// Returns whether all ranks use the same map, and none is armed or holds a
  /// step.
  bool isSettled() const;
  bool hasHeldStep() const;

  /// Returns whether the expert IDs of all ranks are known.
  bool hasAllExpertIds() const;
  /// Returns whether the expert IDs of all responsive ranks are known.
  bool hasExpertIdsOfResponsiveRanks(base::TimePoint now) const;
  /// Returns whether the expert IDs of each rank are known and belong to the
  /// epoch and map version that the rank reports.
  bool isMapCurrent() const;
  /// Returns the current map. The first rank whose expert IDs are unknown is
  /// assumed to hold all experts that no other rank is known to hold, and
  /// further such ranks are assumed to hold none.
  experts::GroupMap map() const;
  /// Returns the slowdown of each rank relative to a healthy one, i.e. its
  /// experts::RankState::Slowdown, with values below experts::SlowRankThreshold
  /// replaced by 1.
  std::vector<double> slowdowns() const;
  /// Returns the highest map version that any rank reports.
  std::uint64_t highestVersion() const;

private:
  struct Rank {
    std::optional<experts::RankState> State;
    base::TimePoint StateReadAt;
    std::optional<RankExpertIds> ExpertIds;
    double Slowdown = 1;
  };

  std::uint32_t Sets;
  std::uint32_t ExpertsPerSet;
  std::vector<Rank> Ranks;
};

} // namespace bergamot::sidecar

#endif
