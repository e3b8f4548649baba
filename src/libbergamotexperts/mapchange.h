#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_MAPCHANGE_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_MAPCHANGE_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotexperts/rankstate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bergamot::experts {

/// The rank that is armed last and that a rollback doesn't need (see
/// MapChange).
inline constexpr std::uint32_t LastArmedRank = 0;
/// The rank that holds the step, unless the group has only one rank.
inline constexpr std::uint32_t HoldRank = 1;

/// Bounds of the step margin: the number of steps from the last step that a
/// rank reports to the step at which its group switches. With a margin of 1,
/// the groups of a large deployment were held for 4.8 s of 56 s, with 3 for
/// 0.9 s.
inline constexpr std::uint64_t MinStepMargin = 2;
inline constexpr std::uint64_t MaxStepMargin = 4;

/// Returns the step margin of a change whose ranks are armed within `armTime`
/// after the hold, if a step takes `stepTime`. Returns the minimum if the step
/// time is unknown, as after a group has restarted. If its map is then uneven,
/// steps with full batches take over 100 ms, and a margin of three steps would
/// delay the better map for longer than a short hold does.
std::uint64_t stepMargin(base::Duration armTime, base::Duration stepTime);

/// Settings of a change.
struct MapChangeSettings {
  /// See stepMargin(). The group stalls if the arm orders aren't confirmed
  /// within this number of steps.
  std::uint64_t StepMargin = 3;
  /// A change whose copying takes longer is abandoned, which is harmless.
  /// Copying takes 0.4 s, and popularity shifts every four seconds in the
  /// deployments.
  base::Duration PrepareTimeout = std::chrono::seconds(4);
  /// Maximum number of attempts to hold a step; an attempt fails if the step
  /// has begun when the hold arrives.
  unsigned MaxHoldAttempts = 4;
};

/// An order and the rank that receives it.
struct AddressedOrder {
  std::uint32_t Rank = 0;
  RankOrder Order;
};

/// Moves a group from one expert map to the next so that all ranks switch at
/// the same step even if orders are lost, delayed by seconds or repeated, and
/// if other coordinators act on the same group. This protocol is for engines
/// that begin steps by themselves; ActivationCoordinator is for engines that
/// run each step on an order of a step leader.
///
/// All ranks first copy the experts of the new map (Prepare). Then rank 1 is
/// told to hold a step S, all ranks are armed for S, and rank 1 is released
/// once each rank has confirmed. None of this is undone: a coordinator that
/// finds a held step arms the missing ranks and releases the step, so that two
/// coordinators issue the same orders, and late ones have no effect.
///
/// The change is rolled back only if a rank can no longer be armed because it
/// has prepared a higher version meanwhile. Such a rank blocks the change
/// permanently, as versions only increase, so no coordinator can have released
/// the step or ever will. The ranks are then disarmed, and each prepares the
/// current map under a higher version, which invalidates arm orders still in
/// flight, before the step is released.
///
/// The coordinator usually runs next to rank 0, whose engine can't be reached
/// while that VM is paused. Rank 0 is therefore armed after all others have
/// confirmed: while another rank isn't armed, rank 0 isn't either, so a change
/// can be rolled back without it. Rank 1 is armed second to last, after all
/// ranks with higher numbers. A rollback thus needs rank 0's state only once
/// rank 1 is armed, that is for the round trip of the arm order to rank 0.
class MapChange {
public:
  enum class Outcome {
    Running,
    /// All ranks switch, or have switched, to the same map.
    Applied,
    /// The old map stays active; no rank is armed and no step is held.
    Abandoned,
    /// Another coordinator has acted, or the group has restarted. Armed or held
    /// ranks have to be examined again.
    Superseded,
  };

  /// Starts a change to `next` under `version`, which must be higher than all
  /// versions that the ranks report and unique among coordinators. A rollback
  /// uses the versions that follow, up to one per rank. `current` is the map in
  /// use.
  MapChange(const MapChangeSettings &settings, std::uint64_t version,
            GroupMap next, GroupMap current, std::vector<RankState> states,
            base::TimePoint now);
  /// Takes over a held step that another coordinator has left behind.
  /// `isRank0Reachable` says whether rank 0 answers; if not, its state is
  /// ignored.
  static MapChange adoptHeldStep(const MapChangeSettings &settings,
                                 std::uint64_t version, GroupMap current,
                                 std::vector<RankState> states,
                                 bool isRank0Reachable, base::TimePoint now);

  /// Returns the orders to send now. Each rank has at most one order
  /// outstanding.
  std::vector<AddressedOrder> takeOrders(base::TimePoint now);
  /// Returns the ranks whose state has to be read now.
  std::vector<std::uint32_t> ranksToRead() const;
  /// Records a state that was read after the rank's last result.
  void setState(std::uint32_t rank, const RankState &state,
                base::TimePoint now);
  void setResult(std::uint32_t rank, OrderResult result, base::TimePoint now);

  Outcome outcome() const { return CurrentOutcome; }
  /// Returns whether the group may be held.
  bool mayBeHeld() const {
    return CurrentPhase != Phase::Preparing &&
           CurrentPhase != Phase::ReadingStates;
  }
  /// Returns whether the ranks are still copying experts, the longest phase.
  bool isPreparing() const { return CurrentPhase == Phase::Preparing; }
  /// Returns whether another coordinator's change has replaced this one while
  /// the ranks were copying.
  bool wasReplacedWhilePreparing() const { return ReplacedWhilePreparing; }
  const char *phaseName() const;
  std::uint64_t version() const { return Version; }
  std::uint64_t step() const { return Step; }

private:
  enum class Phase {
    Preparing,
    ReadingStates,
    Holding,
    Arming,
    Releasing,
    RollingBack
  };

  struct Rank {
    RankState State;
    bool StateFresh = true;
    std::optional<RankOrder> Outstanding;
    bool Copying = false;
    /// An order to copy had no response, so it may have been executed.
    bool MayBeCopying = false;
    bool Armed = false;
    /// During a rollback: the accepted version that invalidates earlier arm
    /// orders.
    std::uint64_t AcceptedFenceVersion = 0;
    bool Fenced = false;
    /// The version of the most recent fencing order.
    std::uint64_t SentFenceVersion = 0;
  };

  MapChange(const MapChangeSettings &settings, std::uint64_t version,
            std::vector<RankState> states, base::TimePoint now);

  RankOrder order(OrderKind kind) const;
  std::optional<RankOrder> nextOrder(std::uint32_t index);
  std::optional<RankOrder> nextPrepareOrder(const Rank &rank) const;
  std::optional<RankOrder> nextRollbackOrder(std::uint32_t index,
                                             const Rank &rank);
  RankOrder fenceOrder();
  void adopt(bool isRank0Reachable);
  std::uint32_t holdRank() const;
  bool mayArm(std::uint32_t index) const;
  bool othersArmed() const;
  bool isRolledBack() const;
  void advance(base::TimePoint now);
  void startReadingStates();
  void startHolding();
  void startRollback();
  void advanceRollback();
  bool allRanks(bool Rank::*flag, std::uint32_t firstRank = 0) const;
  void onHoldRankState();
  void onPrepareResult(Rank &rank, OrderResult result);
  void supersedePreparation();

  MapChangeSettings Settings;
  std::uint64_t Version;
  std::uint64_t NextFenceVersion;
  std::uint64_t Epoch = 0;
  std::uint64_t Step = 0;
  GroupMap Next;
  GroupMap Current;
  std::vector<Rank> Ranks;
  Phase CurrentPhase = Phase::Preparing;
  Outcome CurrentOutcome = Outcome::Running;
  /// Also ends a change that waits for states before the group is held.
  base::TimePoint PrepareDeadline;
  unsigned HoldAttempts = 0;
  /// During a rollback: some rank can no longer be armed, so the others may be
  /// disarmed.
  bool Blocked = false;
  bool ReplacedWhilePreparing = false;
};

} // namespace bergamot::experts

#endif
