#ifndef BERGAMOT_SIDECAR_GROUPVIEW_H
#define BERGAMOT_SIDECAR_GROUPVIEW_H

#include "libbergamotexperts/rankstate.h"
#include "sidecar/rankclient.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bergamot::sidecar {

/// What a coordinator knows of the ranks of its group: the states and the
/// experts that they last reported.
class GroupView {
public:
  /// `sets` and `experts` are the sizes of the group's maps.
  GroupView(std::size_t ranks, std::uint32_t sets, std::uint32_t experts)
      : Sets(sets), Experts(experts), Ranks(ranks) {}

  void setState(std::uint32_t rank, const experts::RankState &state,
                base::TimePoint readAt);
  void setExperts(std::uint32_t rank, const RankExperts &experts) {
    Ranks[rank].Experts = experts;
  }
  /// Notes the map that the group switches to; if it is empty, the ranks have
  /// to be asked for it.
  void setMap(std::uint64_t version, const experts::GroupMap &map);
  void forgetStates();

  /// Returns a rank's last state; unset if it has been forgotten.
  const std::optional<experts::RankState> &state(std::uint32_t rank) const {
    return Ranks[rank].State;
  }
  /// Returns the states of all ranks, an empty one where none is known.
  std::vector<experts::RankState> states() const;
  /// Returns whether a rank answers and its group is open.
  bool answers(std::uint32_t rank, base::TimePoint now) const;
  /// Returns whether all ranks but experts::LastArmedRank answer.
  bool othersAnswer(base::TimePoint now) const;
  /// Returns whether all ranks run one map, and none is armed or holds a step.
  bool isSettled() const;
  bool isHeld() const;

  /// Returns whether the experts of all ranks are known.
  bool hasMap() const;
  /// The same for those that answer.
  bool hasMapOfAnswering(base::TimePoint now) const;
  /// Returns whether the known map belongs to the version that the ranks run.
  bool hasCurrentMap() const;
  /// Returns the map in use. A rank whose experts aren't known is taken to
  /// hold those that no other one does.
  experts::GroupMap map() const;
  /// Returns the ranks' paces; small differences are no slowness.
  std::vector<double> paces() const;
  /// Returns the highest version of a map that a rank reports.
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
