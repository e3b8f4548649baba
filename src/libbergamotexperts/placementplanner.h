#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_PLACEMENTPLANNER_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_PLACEMENTPLANNER_H

#include "libbergamotexperts/expertmap.h"
#include "libbergamotexperts/movesearch.h"
#include "libbergamotexperts/popularityestimator.h"
#include "libbergamotexperts/rankinfo.h"

#include <cstdint>
#include <span>
#include <vector>

namespace bergamot::experts {

/// Kind of a plan. AdjustShares changes the token split without transferring
/// weights.
enum class PlanKind { Wait, AdjustShares, MoveReplicas };

/// Reason why a plan doesn't move replicas.
enum class WaitReason {
  None,
  NoEstimate,
  StaleEstimate,
  ActivationPending,
  ExpertLost,
  Balanced,
  NoBetterMove,
  TransferBudget,
  GainBelowCost,
};

/// Returns the name of a wait reason for the log.
const char *waitReasonName(WaitReason reason);

/// Sizes, costs and thresholds of the planner.
struct PlannerSettings {
  std::uint64_t BytesPerExpert = 44'040'192;
  /// Bytes per second that the weight store grants to the group for this layer.
  double StoreBytesPerSecond = 500e6;
  /// Fraction by which a running transfer lengthens a step.
  double TransferSlowdown = 0.02;
  /// Cost of a transferred byte in seconds of group time. It covers the load on
  /// the shared weight store and the memory for both copies until the switch.
  /// At 1e-11, an expert of 44 MB costs 0.4 ms.
  double SecondsPerByte = 1e-11;
  double StepsPerSecond = 20;
  /// Minimum ratio of a plan's gain to its cost.
  double MinGainCostRatio = 2;
  /// Moves are considered only while the skew with adjusted shares exceeds this
  /// value.
  double TargetSkew = 1.01;
  /// Minimum reduction of the skew for a plan that only adjusts shares, as each
  /// one costs a staged switch. At 0.002 each rank receives 1.1 KB/s per layer
  /// of changed token shares, at 0.01 a quarter of that with equal mean skew.
  double MinAdjustmentDrop = 0.01;
  /// Minimum time that a replica stays in place, so that a burst can't make two
  /// experts replace each other repeatedly.
  base::Duration MinResidence = std::chrono::seconds(30);
  base::Duration MaxEstimateAge = std::chrono::seconds(60);
  /// Replicas that a rank may hold beyond its slots while a map is staged.
  std::uint32_t StagingSlots = 1;
  /// Moves in one plan; bounds the planning time.
  std::uint32_t MaxMoves = 8;
  MoveLimits Search;
};

/// Input of a plan. The planner doesn't retain the pointers and spans.
struct PlanRequest {
  base::TimePoint Now;
  const ExpertMap *Current = nullptr;
  const PopularityEstimate *Popularity = nullptr;
  std::span<const RankInfo> Ranks;
  /// Bytes that the weight store can deliver before the next plan.
  std::uint64_t BudgetBytes = 0;
  /// True while an earlier map is being staged.
  bool ActivationPending = false;
};

/// Summary of a decision for the log and the audit stream. Skews are the ratio
/// of maximum to mean rank time predicted for the popularity estimate.
/// GainSeconds, CostSeconds and SkewPlanned refer to the whole evaluated
/// sequence of moves; Moves and Bytes refer to its first part, which fits the
/// current budget. The gain is that of the whole sequence because, if several
/// ranks are equally slow, a part of it may show none.
struct PlanRecord {
  base::TimePoint PlannedAt;
  PlanKind Kind = PlanKind::Wait;
  WaitReason Reason = WaitReason::None;
  double SkewNow = 0;
  /// Skew of the current placement with adjusted shares.
  double SkewAdjusted = 0;
  double SkewPlanned = 0;
  double GainSeconds = 0;
  double CostSeconds = 0;
  std::uint32_t Moves = 0;
  std::uint64_t Bytes = 0;
  base::Duration EstimateLifetime{};
  double EstimateCoverage = 0;
  std::uint64_t Evaluations = 0;
};

/// A decision: the map to stage (unless Kind is Wait) and the replicas to
/// fetch, most valuable first.
struct Plan {
  PlanRecord Record;
  ExpertMap Map;
  std::vector<ReplicaTransfer> Transfers;
};

/// Plans the placement of one layer.
class PlacementPlanner {
public:
  explicit PlacementPlanner(PlannerSettings settings);

  /// Decides whether to wait, to adjust shares or to move replicas.
  Plan plan(const PlanRequest &request);

private:
  struct MovePrefix {
    std::vector<Move> Moves;
    double MaxRankTime = 0;
    double Gain = 0;
    double Cost = 0;
    std::uint64_t Transfers = 0;
  };

  WaitReason findWaitReason(const PlanRequest &request) const;
  MovePrefix bestMovePrefix(const PlanRequest &request, SplitState state,
                            PlanRecord &record);
  MovePrefix withinBudget(MovePrefix prefix, std::uint64_t budgetBytes,
                          PlanRecord &record) const;
  double costSeconds(std::uint64_t transfers) const;
  void applyMoves(const PlanRequest &request, const MovePrefix &prefix,
                  SplitState &balanced, Plan &plan);

  PlannerSettings Settings;
  /// By slot: the time from which the slot's replica may be replaced.
  std::vector<base::TimePoint> ReplaceableFrom;
};

} // namespace bergamot::experts

#endif
