#ifndef BERGAMOT_SIDECAR_GROUPVIEW_H
#define BERGAMOT_SIDECAR_GROUPVIEW_H

#include "libbergamotexperts/rankstate.h"
#include "sidecar/rankclient.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bergamot::sidecar {

/// A coordinator's view of its group: the last reported state and experts of
/// each rank.
class GroupView {
public:
  /// `sets` and `experts` are the dimensions of the group's maps.
  GroupView(std::size_t ranks, std::uint32_t sets, std::uint32_t experts)
      : Sets(sets), Experts(experts), Ranks(ranks) {}

  void setState(std::uint32_t rank, const experts::RankState &state,
                base::TimePoint readAt);
  void setExperts(std::uint32_t rank, const RankExperts &experts) {
    Ranks[rank].Experts = experts;
  }
  /// Sets the map that the group switches to. An empty map clears the experts
  /// of all ranks, which then have to be read again.
  void setMap(std::uint64_t version, const experts::GroupMap &map);
  void clearStates();

  /// Returns a rank's last state; std::nullopt if unknown or cleared.
  const std::optional<experts::RankState> &state(std::uint32_t rank) const {
    return Ranks[rank].State;
  }
  /// Returns the states of all ranks, default-constructed where unknown.
  std::vector<experts::RankState> states() const;
  /// Returns whether a rank has responded recently and its group is open.
  bool isResponsive(std::uint32_t rank, base::TimePoint now) const;
  /// Returns whether all ranks except experts::LastArmedRank are responsive.
  bool areOthersResponsive(base::TimePoint now) const;
  /// Returns whether all ranks use the same map, and none is armed or holds a
  /// step.
  bool isSettled() const;
  bool hasHeldStep() const;

  /// Returns whether the experts of all ranks are known.
  bool hasMap() const;
  /// Returns whether the experts of all responsive ranks are known.
  bool hasMapOfResponsiveRanks(base::TimePoint now) const;
  /// Returns whether the known experts belong to the map version that each rank
  /// reports.
  bool hasCurrentMap() const;
  /// Returns the current map. The first rank whose experts are unknown is
  /// assumed to hold all experts that no other rank holds.
  experts::GroupMap map() const;
  /// Returns the pace of each rank, with values below
  /// experts::SlowRankThreshold replaced by 1.
  std::vector<double> paces() const;
  /// Returns the highest map version that any rank reports.
  std::uint64_t highestVersion() const;

private:
  struct Rank {
    std::optional<experts::RankState> State;
    base::TimePoint StateReadAt;
    std::optional<RankExperts> Experts;
    double Pace = 1;
  };

  std::uint32_t Sets;
  std::uint32_t Experts;
  std::vector<Rank> Ranks;
};

} // namespace bergamot::sidecar

#endif
