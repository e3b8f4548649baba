#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_MAPCHANGE_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_MAPCHANGE_H

#include "libbergamotbase/timetypes.h"
#include "libbergamotexperts/rankstate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bergamot::experts {

/// The rank that is armed last, and that an undone change doesn't need.
inline constexpr std::uint32_t LastArmedRank = 0;
/// The rank that holds back the step, unless the group has only one.
inline constexpr std::uint32_t HoldRank = 1;

/// Steps between the last one that a rank reports and the one at which its
/// group switches. With 1, the groups of a grown site were held for 4.8 s of
/// 56 s, with 3 for 0.9 s.
inline constexpr std::uint64_t MinStepMargin = 2;
inline constexpr std::uint64_t MaxStepMargin = 4;

/// Returns the margin of a change whose ranks are armed in `armTime` after the
/// hold, if steps take `stepTime`; the least one if that isn't known, as right
/// after a group has formed anew with an uneven map. Load pattern: a group with
/// such a map and full batches takes over 100 ms a step, so that three of them
/// delay the better map longer than a short hold.
std::uint64_t stepMargin(base::Duration armTime, base::Duration stepTime);

/// Limits of a change.
struct MapChangeSettings {
  /// See stepMargin(). The group stands still if the orders aren't confirmed
  /// within these steps.
  std::uint64_t StepMargin = 3;
  /// Copying that takes longer ends the change, which is harmless. It takes
  /// 0.4 s, and popularity jumps every four seconds on the deployments.
  base::Duration PrepareTimeout = std::chrono::seconds(4);
  /// Tries to find a step that hasn't begun when the hold arrives.
  unsigned MaxHoldAttempts = 4;
};

/// An order and the rank that gets it.
struct AddressedOrder {
  std::uint32_t Rank = 0;
  RankOrder Order;
};

/// Moves a group from one expert map to the next so that all ranks switch at
/// one step, whatever becomes of the orders: they may be lost, carried out
/// seconds late, or repeated, and other coordinators may act on the same group.
///
/// All ranks first copy the experts of the new map (Prepare). Then rank 1 is
/// told to hold back a step S, all ranks are armed for S, and rank 1 is
/// released when each has confirmed. Nothing of this is taken back: a
/// coordinator that finds a held step arms the ranks that are missing and
/// releases it, so two coordinators do the same and late orders change nothing.
///
/// Only if a rank can't be armed any more, because it has prepared a higher
/// version meanwhile, is the change undone. Such a rank blocks the change for
/// good, as versions only grow, so no coordinator can have released the step or
/// ever will. The ranks are then disarmed, and each prepares a higher version
/// of the present map, which voids arms that are still on their way, before the
/// step is released.
///
/// The coordinator usually runs beside rank 0, whose engine can't be reached
/// while that VM stands still. Rank 0 is therefore armed after all others have
/// confirmed: as long as another rank isn't armed, rank 0 isn't either, so a
/// change can be undone without it. Rank 1 is armed last but one, on its own,
/// which leaves a single round trip in which rank 0's state matters.
class MapChange {
public:
  enum class Outcome {
    Running,
    /// All ranks switch, or have switched, to one map.
    Applied,
    /// The old map stays; nothing is armed or held.
    Abandoned,
    /// Another coordinator has acted, or the group has formed anew. What is
    /// armed or held now has to be looked at afresh.
    Superseded,
  };

  /// Starts a change to `next`, as `version`, which must be higher than all
  /// versions that the ranks report and unlike any other coordinator's. The
  /// following versions, up to one per rank, are used to undo it. `current` is
  /// the map in use.
  MapChange(const MapChangeSettings &settings, std::uint64_t version,
            GroupMap next, GroupMap current, std::vector<RankState> states,
            base::TimePoint now);
  /// Takes over a held step that another coordinator has left. `reachesFirst`
  /// says whether rank 0 answers; if not, its state is ignored.
  static MapChange adoptHeldStep(const MapChangeSettings &settings,
                                 std::uint64_t version, GroupMap current,
                                 std::vector<RankState> states,
                                 bool isFirstReachable, base::TimePoint now);

  /// Returns the orders to send now. Each rank has at most one in progress.
  std::vector<AddressedOrder> takeOrders(base::TimePoint now);
  /// Returns the ranks whose state is needed now.
  std::vector<std::uint32_t> ranksToRead() const;
  /// Takes a state that was read after the rank's last result.
  void setState(std::uint32_t rank, const RankState &state,
                base::TimePoint now);
  void setResult(std::uint32_t rank, OrderResult result, base::TimePoint now);

  Outcome outcome() const { return CurrentOutcome; }
  /// Returns whether the group waits, or may wait, for a release.
  bool mayBeHeld() const {
    return CurrentPhase != Phase::Preparing &&
           CurrentPhase != Phase::ReadingStates;
  }
  /// Returns whether the ranks still copy experts, which takes long.
  bool isPreparing() const { return CurrentPhase == Phase::Preparing; }
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
    /// An order to copy had no response, so it may have been carried out.
    bool MayBeCopying = false;
    bool Armed = false;
    /// While undoing: the version that voids earlier arms, once accepted.
    std::uint64_t FenceVersion = 0;
    bool Fenced = false;
    /// The version of the last such order.
    std::uint64_t LastFenceVersion = 0;
  };

  MapChange(const MapChangeSettings &settings, std::uint64_t version,
            std::vector<RankState> states, base::TimePoint now);

  RankOrder order(OrderKind kind) const;
  std::optional<RankOrder> nextOrder(std::uint32_t index);
  std::optional<RankOrder> nextPrepareOrder(const Rank &rank) const;
  std::optional<RankOrder> nextRollbackOrder(std::uint32_t index,
                                             const Rank &rank);
  RankOrder fenceOrder();
  void adopt(bool isFirstReachable);
  std::uint32_t holdRank() const;
  bool mayArm(std::uint32_t index) const;
  bool othersArmed() const;
  bool isRolledBack() const;
  void advance(base::TimePoint now);
  void startReadingStates();
  void startHolding();
  void startRollback();
  void advanceRollback();
  bool allRanks(bool Rank::*flag, std::uint32_t first = 0) const;
  void onHoldRankState();
  void onPrepareResult(Rank &rank, OrderResult result);

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
  /// While undoing: a rank is known that can't be armed any more, so that the
  /// others may be disarmed.
  bool Blocked = false;
};

} // namespace bergamot::experts

#endif
