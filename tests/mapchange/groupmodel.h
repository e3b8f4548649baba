#ifndef BERGAMOT_TESTS_MAPCHANGE_GROUPMODEL_H
#define BERGAMOT_TESTS_MAPCHANGE_GROUPMODEL_H

#include "libbergamotexperts/rankstate.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamot::experts {

/// Model of a group of ranks that executes orders as the engines specify and
/// checks that all ranks have the same map whenever a step begins.
class GroupModel {
public:
  explicit GroupModel(std::uint32_t ranks) : Ranks(ranks) {}

  /// Executes an order. Returns whether it was accepted.
  bool execute(std::uint32_t rank, const RankOrder &order);
  /// Begins the next step unless it is held. Returns whether it began.
  bool beginStep();
  /// Completes a copy.
  void finishCopy(std::uint32_t rank);
  /// Restarts the group in a new epoch.
  void restart();

  RankState state(std::uint32_t rank) const;
  std::uint64_t step() const { return Step; }
  std::uint32_t rankCount() const {
    return static_cast<std::uint32_t>(Ranks.size());
  }
  bool isHeld() const;
  /// Describes the first step seen to begin with two maps; empty if none.
  const std::string &violation() const { return Violation; }

private:
  struct Rank {
    std::uint64_t MapVersion = 0;
    GroupMap Map;
    /// The highest version that the rank has seen.
    std::uint64_t HighestVersion = 0;
    std::uint64_t Copying = 0;
    GroupMap CopyingMap;
    std::uint64_t Prepared = 0;
    GroupMap PreparedMap;
    std::optional<ArmedSwitch> Armed;
    std::optional<std::uint64_t> Held;
  };

  bool prepare(Rank &rank, const RankOrder &order);
  bool arm(Rank &rank, const RankOrder &order) const;
  bool disarm(Rank &rank, const RankOrder &order) const;
  bool hold(Rank &rank, const RankOrder &order) const;

  std::vector<Rank> Ranks;
  std::uint64_t Epoch = 1;
  std::uint64_t Step = 10;
  std::string Violation;
};

} // namespace bergamot::experts

#endif
