#include "libbergamotexperts/placementplanner.h"

#include <algorithm>
#include <cmath>

namespace bergamot::experts {

namespace {

// The shares of the current map are close to the optimum, so few sweeps are
// needed after a small change.
constexpr unsigned BalanceSweeps = 60;
constexpr double BalanceTolerance = 2e-4;
// A move must lower the potential by this fraction; smaller reductions are
// within the tolerance of balancing.
constexpr double MinPotentialDrop = 2e-4;

double seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

} // namespace

const char *waitReasonName(WaitReason reason) {
  switch (reason) {
  case WaitReason::None:
    return "none";
  case WaitReason::NoEstimate:
    return "no_estimate";
  case WaitReason::StaleEstimate:
    return "stale_estimate";
  case WaitReason::ActivationPending:
    return "activation_pending";
  case WaitReason::ExpertLost:
    return "expert_lost";
  case WaitReason::Balanced:
    return "balanced";
  case WaitReason::NoBetterMove:
    return "no_better_move";
  case WaitReason::TransferBudget:
    return "transfer_budget";
  case WaitReason::GainBelowCost:
    return "gain_below_cost";
  }
  return "unknown";
}

PlacementPlanner::PlacementPlanner(PlannerSettings settings)
    : Settings(std::move(settings)) {}

WaitReason PlacementPlanner::findWaitReason(const PlanRequest &request) const {
  if (request.ActivationPending)
    return WaitReason::ActivationPending;
  if (request.Popularity->Coverage <= 0)
    return WaitReason::NoEstimate;
  if (request.Now - request.Popularity->MeasuredAt > Settings.MaxEstimateAge)
    return WaitReason::StaleEstimate;
  return WaitReason::None;
}

double PlacementPlanner::costSeconds(std::uint64_t transfers) const {
  const double bytes = static_cast<double>(transfers * Settings.BytesPerExpert);
  return bytes / Settings.StoreBytesPerSecond * Settings.TransferSlowdown +
         bytes * Settings.SecondsPerByte;
}

PlacementPlanner::MovePrefix
PlacementPlanner::bestMovePrefix(const PlanRequest &request, SplitState state,
                                 PlanRecord &record) {
  const double before = state.maxTime();
  const double steps =
      Settings.StepsPerSecond * seconds(record.EstimateLifetime);
  std::vector<std::uint32_t> staged(state.rankCount(), 0);
  std::vector<bool> changed(request.Current->slots().size(), false);
  MoveLimits limits = Settings.Search;
  limits.Replaceable = [&](std::uint32_t slot) {
    return staged[state.rankOf(slot)] < Settings.StagingSlots &&
           !changed[slot] && request.Now >= ReplaceableFrom[slot];
  };
  MoveSearch search(state, request.Ranks, limits);
  MovePrefix best{{}, before, 0, 0, 0};
  MovePrefix current = best;
  record.Reason = WaitReason::GainBelowCost;
  while (current.Moves.size() < Settings.MaxMoves &&
         state.maxTime() > Settings.TargetSkew * state.meanTime()) {
    const auto move = search.applyBestMove(MinPotentialDrop);
    if (!move) {
      if (current.Moves.empty())
        record.Reason = WaitReason::NoBetterMove;
      break;
    }
    for (std::uint32_t i = 0; i < move->ChangeCount; ++i) {
      changed[move->Changes.at(i).Slot] = true;
      ++staged[state.rankOf(move->Changes.at(i).Slot)];
    }
    current.Moves.push_back(*move);
    current.Transfers += move->ChangeCount;
    current.MaxRankTime = state.maxTime();
    current.Gain = (before - current.MaxRankTime) * steps;
    current.Cost = costSeconds(current.Transfers);
    if (current.Gain > Settings.MinGainCostRatio * current.Cost &&
        current.Gain - current.Cost > best.Gain - best.Cost)
      best = current;
  }
  record.Evaluations = search.evaluations();
  const MovePrefix &evaluated = best.Moves.empty() ? current : best;
  record.GainSeconds = evaluated.Gain;
  record.CostSeconds = evaluated.Cost;
  record.SkewPlanned = evaluated.MaxRankTime / state.meanTime();
  return withinBudget(std::move(best), request.BudgetBytes, record);
}

PlacementPlanner::MovePrefix
PlacementPlanner::withinBudget(MovePrefix prefix, std::uint64_t budgetBytes,
                               PlanRecord &record) const {
  const std::uint64_t allowed = budgetBytes / Settings.BytesPerExpert;
  const bool hadMoves = !prefix.Moves.empty();
  while (prefix.Transfers > allowed) {
    prefix.Transfers -= prefix.Moves.back().ChangeCount;
    prefix.Moves.pop_back();
  }
  if (hadMoves && prefix.Moves.empty())
    record.Reason = WaitReason::TransferBudget;
  return prefix;
}

void PlacementPlanner::applyMoves(const PlanRequest &request,
                                  const MovePrefix &prefix,
                                  SplitState &balanced, Plan &plan) {
  for (const Move &move : prefix.Moves)
    for (std::uint32_t i = 0; i < move.ChangeCount; ++i) {
      const auto [slot, expert] = move.Changes.at(i);
      balanced.setExpert(slot, expert);
      plan.Transfers.push_back({expert, balanced.rankOf(slot)});
      ReplaceableFrom[slot] = request.Now + Settings.MinResidence;
    }
  balanced.balanceAll(BalanceSweeps, BalanceTolerance);
  PlanRecord &record = plan.Record;
  record.Kind = PlanKind::MoveReplicas;
  record.Reason = WaitReason::None;
  record.Moves = static_cast<std::uint32_t>(prefix.Moves.size());
  record.Bytes = prefix.Transfers * Settings.BytesPerExpert;
}

Plan PlacementPlanner::plan(const PlanRequest &request) {
  Plan result;
  PlanRecord &record = result.Record;
  record.PlannedAt = request.Now;
  record.EstimateLifetime = request.Popularity->Lifetime;
  record.EstimateCoverage = request.Popularity->Coverage;
  record.Reason = findWaitReason(request);
  if (record.Reason != WaitReason::None)
    return result;
  ReplaceableFrom.resize(request.Current->slots().size());
  SplitState state(*request.Current, request.Ranks,
                   request.Popularity->TokensPerStep);
  const double mean = state.meanTime();
  record.SkewNow = state.maxTime() / mean;
  state.balanceAll(BalanceSweeps, BalanceTolerance);
  record.SkewAdjusted = state.maxTime() / mean;
  record.SkewPlanned = record.SkewAdjusted;
  if (!std::isfinite(record.SkewAdjusted)) {
    record.Reason = WaitReason::ExpertLost;
    return result;
  }
  record.Reason = WaitReason::Balanced;
  if (record.SkewAdjusted > Settings.TargetSkew) {
    const MovePrefix best = bestMovePrefix(request, state, record);
    if (!best.Moves.empty())
      applyMoves(request, best, state, result);
  }
  if (record.Kind == PlanKind::Wait &&
      record.SkewNow - record.SkewAdjusted >= Settings.MinAdjustmentDrop)
    record.Kind = PlanKind::AdjustShares;
  if (record.Kind != PlanKind::Wait)
    result.Map = state.map();
  return result;
}

} // namespace bergamot::experts
