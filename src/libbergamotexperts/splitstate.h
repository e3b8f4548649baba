#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_SPLITSTATE_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_SPLITSTATE_H

#include "libbergamotexperts/expertmap.h"
#include "libbergamotexperts/rankinfo.h"

#include <cstdint>
#include <span>
#include <vector>

namespace bergamot::experts {

/// Divides the tokens of each expert among its replicas so that the slowest
/// rank is as fast as the placement allows. Minimizes the sum of tokens^2/speed
/// over the ranks by water-filling one expert at a time; this also minimizes
/// the maximum time.
class SplitState {
public:
  /// Starts with the shares of the map. `tokens` holds tokens per step and
  /// expert.
  SplitState(const ExpertMap &map, std::span<const RankInfo> ranks,
             std::span<const double> tokens);

  /// Distributes an expert's tokens so that the ranks that get any of them
  /// finish at the same time. Returns the largest change of a slot's tokens.
  double balanceExpert(std::uint32_t expert);
  /// Balances all experts until no slot's tokens change by more than
  /// `tolerance` times the mean tokens per rank, for at most `maxSweeps`
  /// sweeps. Returns the number of sweeps.
  unsigned balanceAll(unsigned maxSweeps, double tolerance);
  /// Puts an expert (or NoExpert) into a slot, with no tokens. The caller
  /// has to rebalance the old and the new expert afterwards.
  void setExpert(std::uint32_t slot, std::uint32_t expert);

  std::uint32_t expertAt(std::uint32_t slot) const { return SlotExpert[slot]; }
  /// Returns the tokens per step assigned to a slot.
  double slotTokens(std::uint32_t slot) const { return SlotTokens[slot]; }
  std::uint32_t rankOf(std::uint32_t slot) const { return slot / SlotsPerRank; }
  std::uint32_t rankCount() const { return Ranks; }
  std::uint32_t expertCount() const { return Experts; }
  std::uint32_t slotsPerRank() const { return SlotsPerRank; }
  /// Returns the slots that hold an expert, in no particular order.
  std::span<const std::uint32_t> replicaSlots(std::uint32_t expert) const {
    return Replicas[expert];
  }
  bool holds(std::uint32_t rank, std::uint32_t expert) const;
  bool isLive(std::uint32_t rank) const { return Speeds[rank] > 0; }

  /// Returns a rank's seconds per step; infinite if a stalled rank has tokens.
  double time(std::uint32_t rank) const;
  /// Returns the longest time of any rank, in seconds per step; infinite if
  /// an expert with tokens has no live replica.
  double maxTime() const;
  /// Returns the time per step if all tokens were distributed in proportion to
  /// speed.
  double meanTime() const { return TotalTokens / TotalSpeed; }
  /// Returns the mean of (time/meanTime)^8 over live ranks. Unlike the
  /// maximum, it falls when one of several equally slow ranks gets faster.
  double potential() const;

  /// Tokens by slot and by rank, to revert an evaluated move.
  struct Saved {
    std::vector<double> SlotTokens;
    std::vector<double> RankTokens;
  };
  void save(Saved &saved) const;
  void restore(const Saved &saved);

  /// Returns the map with the current placement and token split.
  ExpertMap map() const;

private:
  struct ReplicaLoad {
    double Time;
    double Speed;
    std::uint32_t Slot;
  };

  void writeShares(ExpertMap &map, std::uint32_t expert) const;

  std::uint32_t Experts;
  std::uint32_t Ranks;
  std::uint32_t SlotsPerRank;
  std::vector<double> Tokens;
  std::vector<double> Speeds;
  std::vector<std::uint32_t> SlotExpert;
  std::vector<std::vector<std::uint32_t>> Replicas;
  std::vector<double> SlotTokens;
  std::vector<double> RankTokens;
  std::vector<ReplicaLoad> Scratch;
  double TotalTokens = 0;
  double TotalSpeed = 0;
};

} // namespace bergamot::experts

#endif
