#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_MOVESEARCH_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_MOVESEARCH_H

#include "libbergamotexperts/splitstate.h"

#include <array>
#include <functional>
#include <optional>
#include <vector>

namespace bergamot::experts {

/// A change of one slot, or an exchange of the experts of two slots.
struct Move {
  struct Change {
    std::uint32_t Slot = 0;
    std::uint32_t Expert = NoExpert;
  };
  std::array<Change, 2> Changes{};
  std::uint32_t ChangeCount = 0;
};

/// Limits of a search.
struct MoveLimits {
  /// Replicas of an expert that remain when one of them is replaced.
  std::uint32_t MinReplicas = 2;
  /// Budget for the full evaluation of candidates per chosen move, in slots
  /// rebalanced: a full evaluation rebalances all slots of the map. A map of
  /// 384 slots allows 4 full evaluations, a small map those of nearly all
  /// candidates.
  std::uint32_t EvaluationBudgetSlots = 1600;
  /// Experts and ranks considered per move.
  std::uint32_t ExpertCandidates = 6;
  std::uint32_t RankCandidates = 6;
  /// Returns whether a slot may be overwritten; if unset, all slots may.
  std::function<bool(std::uint32_t)> Replaceable;
};

/// Finds the move that shortens a step most: another replica of a slow rank's
/// expert on a fast rank, or an exchange of experts between the two ranks.
/// Replicas of an expert that span two failure domains or two hosts continue to
/// do so.
class MoveSearch {
public:
  MoveSearch(SplitState &state, std::span<const RankInfo> ranks,
             const MoveLimits &limits);

  /// Applies the best move to the state and returns it. Returns nothing if no
  /// move lowers the potential (see SplitState::potential()) by more than the
  /// fraction `minPotentialDrop`.
  std::optional<Move> applyBestMove(double minPotentialDrop);
  /// Returns the number of candidates evaluated so far.
  std::uint64_t evaluations() const { return Evaluations; }

private:
  struct Candidate {
    Move CandidateMove;
    double Potential;
  };

  std::vector<std::uint32_t> slowExperts() const;
  std::vector<std::uint32_t> fastRanks() const;
  void addCandidates(std::uint32_t expert, std::uint32_t rank);
  void addReplacements(std::uint32_t expert, std::uint32_t rank);
  void addExchanges(std::uint32_t expert, std::uint32_t rank);
  void addCandidate(const Move &move);
  bool staysSpread(std::uint32_t expert, std::uint32_t removedRank,
                   std::uint32_t addedRank) const;
  bool isRemovable(std::uint32_t slot) const;
  std::array<std::uint32_t, 2> apply(const Move &move);
  void undo(const Move &move, const std::array<std::uint32_t, 2> &old);
  double evaluate(const Move &move, unsigned sweeps);

  SplitState &State;
  std::span<const RankInfo> Ranks;
  const MoveLimits &Limits;
  bool HasSeveralDomains = false;
  bool HasSeveralHosts = false;
  std::vector<Candidate> Candidates;
  SplitState::Saved SavedBeforeMove;
  std::uint64_t Evaluations = 0;
};

} // namespace bergamot::experts

#endif
