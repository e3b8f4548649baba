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

/// What a plan does. Reweight changes the split without moving bytes.
enum class PlanKind { Wait, Reweight, Move };

/// Why a plan doesn't move replicas.
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

/// Sizes, prices and thresholds of the planner.
struct PlannerSettings {
  std::uint64_t BytesPerExpert = 44'040'192;
  /// Bytes per second that the weight store grants to this layer's group.
  double StoreBytesPerSecond = 500e6;
  /// Part of the step time that a running transfer adds.
  double TransferSlowdown = 0.02;
  /// Price of a moved byte in seconds of group time, for the store's use by
  /// others and the memory that holds both copies until the switch. At 1e-11,
  /// an expert of 44 MB costs 0.4 ms.
  double SecondsPerByte = 1e-11;
  double StepsPerSecond = 20;
  /// A plan's gain must be this many times its cost.
  double Hysteresis = 2;
  /// Moves are considered only while the levelled skew exceeds this value.
  double TargetSkew = 1.01;
  /// Reweighting must lower max/mean by this much; each one costs a staged
  /// switch. At 0.002 each rank receives 1.1 KB/s per layer of changed
  /// weights, at 0.01 a quarter of that with the same mean skew.
  double MinReweightDrop = 0.01;
  /// A replica stays at least this long, so that a burst can't make two
  /// experts displace each other in turn.
  base::Duration MinResidence = std::chrono::seconds(30);
  base::Duration MaxEstimateAge = std::chrono::seconds(60);
  /// Replicas that a rank may hold beyond its slots while a map is staged.
  std::uint32_t StagingSlots = 1;
  /// Moves in one plan; bounds the planning time.
  std::uint32_t MaxMoves = 8;
  MoveLimits Search;
};

/// What a plan is made from. Nothing is kept from the spans.
struct PlanRequest {
  base::TimePoint Now;
  const ExpertMap *Current = nullptr;
  const PopularityEstimate *Popularity = nullptr;
  std::span<const RankInfo> Ranks;
  /// Bytes that the weight store can deliver until the next plan.
  std::uint64_t BudgetBytes = 0;
  /// True while an earlier map is being staged.
  bool ActivationPending = false;
};

/// Summary of a decision for the log and the audit stream. Skews are max/mean
/// rank time as predicted for the popularity estimate. Gain, cost and
/// SkewPlanned are those of the whole sequence of moves that was valued; Moves
/// and Bytes are those of its first part, which the budget allows now. Where
/// several ranks are equally slow, only the whole sequence shows a gain.
struct PlanRecord {
  base::TimePoint PlannedAt;
  PlanKind Kind = PlanKind::Wait;
  WaitReason Reason = WaitReason::None;
  double SkewNow = 0;
  double SkewReweighted = 0;
  double SkewPlanned = 0;
  double GainSeconds = 0;
  double CostSeconds = 0;
  std::uint32_t Moves = 0;
  std::uint64_t Bytes = 0;
  base::Duration Lifetime{};
  double Coverage = 0;
  std::uint64_t Evaluations = 0;
};

/// A decision: the map to stage (only if Kind isn't Wait) and the replicas to
/// fetch first, most valuable first.
struct Plan {
  PlanRecord Record;
  ExpertMap Map;
  std::vector<ReplicaTransfer> Transfers;
};

/// Plans the placement of one layer.
class PlacementPlanner {
public:
  explicit PlacementPlanner(PlannerSettings settings);

  /// Decides whether to wait, reweight or move.
  Plan plan(const PlanRequest &request);

private:
  struct MovePrefix {
    std::vector<Move> Moves;
    double Time = 0;
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
  std::vector<base::TimePoint> ReplaceableFrom;
};

} // namespace bergamot::experts

#endif
