#include "libbergamotexperts/movesearch.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bergamot::experts {

namespace {

// Each rank's experts are weighted by its time to this power. At 32, ranks at
// 0.9 of the longest time weigh 3%, so the bottleneck dominates.
constexpr double SlownessPower = 32;
// Slots per rank that are considered for replacement or exchange.
constexpr std::size_t SlotCandidates = 3;
// Balancing sweeps per candidate in the full evaluation. The ranking of the
// candidates rarely changes after three.
constexpr unsigned EvaluationSweeps = 3;
// Balancing sweeps after a move is chosen.
constexpr unsigned ChosenSweeps = 6;
constexpr double SweepTolerance = 1e-3;
constexpr std::uint32_t NoRank = 0xffffffff;

} // namespace

MoveSearch::MoveSearch(SplitState &state, std::span<const RankInfo> ranks,
                       const MoveLimits &limits)
    : State(state), Ranks(ranks), Limits(limits) {
  for (const RankInfo &rank : ranks) {
    HasSeveralDomains |= rank.Domain != ranks.front().Domain;
    HasSeveralHosts |= rank.Host != ranks.front().Host;
  }
}

std::vector<std::uint32_t> MoveSearch::slowExperts() const {
  double longest = 0;
  std::uint32_t slowest = 0;
  for (std::uint32_t r = 0; r < State.rankCount(); ++r)
    if (State.time(r) > longest) {
      longest = State.time(r);
      slowest = r;
    }
  std::vector<double> slowTokens(State.expertCount(), 0.0);
  const std::uint32_t n = State.slotsPerRank();
  for (std::uint32_t r = 0; r < State.rankCount(); ++r) {
    // The slowest rank counts twice, as the longest time can't fall without a
    // change there.
    const double factor = std::pow(State.time(r) / longest, SlownessPower) *
                          (r == slowest ? 2 : 1);
    for (std::uint32_t slot = r * n; slot < (r + 1) * n; ++slot)
      if (State.expertAt(slot) != NoExpert)
        slowTokens[State.expertAt(slot)] += State.slotTokens(slot) * factor;
  }
  std::vector<std::uint32_t> experts(State.expertCount());
  std::iota(experts.begin(), experts.end(), 0U);
  const auto count =
      std::min<std::size_t>(Limits.ExpertCandidates, experts.size());
  std::ranges::partial_sort(
      experts, experts.begin() + static_cast<std::ptrdiff_t>(count),
      [&](auto a, auto b) { return slowTokens[a] > slowTokens[b]; });
  experts.resize(count);
  return experts;
}

std::vector<std::uint32_t> MoveSearch::fastRanks() const {
  std::vector<std::uint32_t> ranks;
  for (std::uint32_t r = 0; r < State.rankCount(); ++r)
    if (State.isLive(r))
      ranks.push_back(r);
  const auto n = std::min<std::size_t>(Limits.RankCandidates, ranks.size());
  std::ranges::partial_sort(
      ranks, ranks.begin() + static_cast<std::ptrdiff_t>(n),
      [&](auto a, auto b) { return State.time(a) < State.time(b); });
  ranks.resize(n);
  return ranks;
}

bool MoveSearch::staysSpread(std::uint32_t expert, std::uint32_t removedRank,
                             std::uint32_t addedRank) const {
  std::uint64_t domainsBefore = 0;
  std::uint64_t hostsBefore = 0;
  std::uint64_t domains = 0;
  std::uint64_t hosts = 0;
  std::size_t replicas = addedRank == NoRank ? 0 : 1;
  for (const auto slot : State.replicaSlots(expert)) {
    const std::uint32_t r = State.rankOf(slot);
    const std::uint64_t domain = 1ULL << (Ranks[r].Domain % 64);
    const std::uint64_t host = 1ULL << (Ranks[r].Host % 64);
    domainsBefore |= domain;
    hostsBefore |= host;
    if (r == removedRank)
      continue;
    ++replicas;
    domains |= domain;
    hosts |= host;
  }
  if (addedRank != NoRank) {
    domains |= 1ULL << (Ranks[addedRank].Domain % 64);
    hosts |= 1ULL << (Ranks[addedRank].Host % 64);
  }
  const auto isSingleton = [](std::uint64_t set) {
    return (set & (set - 1)) == 0;
  };
  // MinReplicas decides whether one replica is enough. A second replica goes to
  // another failure domain and host; further ones may go anywhere.
  if (replicas < 2)
    return true;
  const bool adding = removedRank == NoRank;
  if (HasSeveralDomains && isSingleton(domains) &&
      (adding || !isSingleton(domainsBefore)))
    return false;
  return !(HasSeveralHosts && isSingleton(hosts) &&
           (adding || !isSingleton(hostsBefore)));
}

bool MoveSearch::isRemovable(std::uint32_t slot) const {
  const std::uint32_t expert = State.expertAt(slot);
  if (Limits.Replaceable && !Limits.Replaceable(slot))
    return false;
  if (expert == NoExpert)
    return true;
  std::uint32_t live = 0;
  for (const auto other : State.replicaSlots(expert))
    live += other != slot && State.isLive(State.rankOf(other)) ? 1 : 0;
  return live >= std::max(1U, Limits.MinReplicas) &&
         staysSpread(expert, State.rankOf(slot), NoRank);
}

std::array<std::uint32_t, 2> MoveSearch::apply(const Move &move) {
  std::array<std::uint32_t, 2> old{NoExpert, NoExpert};
  for (std::uint32_t i = 0; i < move.ChangeCount; ++i) {
    old.at(i) = State.expertAt(move.Changes.at(i).Slot);
    State.setExpert(move.Changes.at(i).Slot, move.Changes.at(i).Expert);
  }
  for (int round = 0; round < 2; ++round)
    for (std::uint32_t i = 0; i < move.ChangeCount; ++i)
      for (const auto e : {old.at(i), move.Changes.at(i).Expert})
        if (e != NoExpert)
          State.balanceExpert(e);
  return old;
}

void MoveSearch::undo(const Move &move,
                      const std::array<std::uint32_t, 2> &old) {
  for (std::uint32_t i = 0; i < move.ChangeCount; ++i)
    State.setExpert(move.Changes.at(i).Slot, old.at(i));
  State.restore(SavedBeforeMove);
}

double MoveSearch::evaluate(const Move &move, unsigned sweeps) {
  ++Evaluations;
  const auto old = apply(move);
  if (sweeps > 0)
    State.balanceAll(sweeps, SweepTolerance);
  const double potential = State.potential();
  undo(move, old);
  return potential;
}

void MoveSearch::addCandidate(const Move &move) {
  Candidates.push_back({move, evaluate(move, 0)});
}

void MoveSearch::addReplacements(std::uint32_t expert, std::uint32_t rank) {
  if (!staysSpread(expert, NoRank, rank))
    return;
  std::vector<std::uint32_t> slots(State.slotsPerRank());
  std::iota(slots.begin(), slots.end(), rank * State.slotsPerRank());
  std::ranges::stable_sort(slots, [&](auto a, auto b) {
    return State.slotTokens(a) < State.slotTokens(b);
  });
  std::size_t found = 0;
  for (const auto slot : slots) {
    if (!isRemovable(slot))
      continue;
    Move move;
    move.Changes[0] = {slot, expert};
    move.ChangeCount = 1;
    addCandidate(move);
    if (++found == SlotCandidates)
      return;
  }
}

void MoveSearch::addExchanges(std::uint32_t expert, std::uint32_t rank) {
  std::uint32_t from = NoExpert;
  for (const auto slot : State.replicaSlots(expert))
    if (from == NoExpert ||
        State.time(State.rankOf(slot)) > State.time(State.rankOf(from)))
      from = slot;
  const std::uint32_t slowRank = State.rankOf(from);
  const double gap = (State.time(slowRank) - State.time(rank)) / 2;
  const double speed = Ranks[rank].Speed;
  std::vector<std::uint32_t> slots;
  const std::uint32_t first = rank * State.slotsPerRank();
  for (std::uint32_t s = first; s < first + State.slotsPerRank(); ++s) {
    const std::uint32_t other = State.expertAt(s);
    if (other == NoExpert || State.holds(slowRank, other))
      continue;
    if (Limits.Replaceable &&
        !(Limits.Replaceable(s) && Limits.Replaceable(from)))
      continue;
    if (staysSpread(expert, slowRank, rank) &&
        staysSpread(other, rank, slowRank))
      slots.push_back(s);
  }
  // The best partner evens out the times of the two ranks.
  std::ranges::stable_sort(slots, {}, [&](auto s) {
    return std::abs((State.slotTokens(from) - State.slotTokens(s)) / speed -
                    gap);
  });
  for (std::size_t i = 0; i < std::min(slots.size(), SlotCandidates); ++i) {
    Move move;
    move.Changes[0] = {slots[i], expert};
    move.Changes[1] = {from, State.expertAt(slots[i])};
    move.ChangeCount = 2;
    addCandidate(move);
  }
}

void MoveSearch::addCandidates(std::uint32_t expert, std::uint32_t rank) {
  if (State.holds(rank, expert))
    return;
  addReplacements(expert, rank);
  addExchanges(expert, rank);
}

std::optional<Move> MoveSearch::applyBestMove(double minPotentialDrop) {
  State.save(SavedBeforeMove);
  Candidates.clear();
  const auto ranks = fastRanks();
  for (const auto expert : slowExperts())
    for (const auto rank : ranks)
      addCandidates(expert, rank);
  // Exchanges cost two transfers; the cheaper of two equal candidates wins.
  const auto byPotential = [](const Candidate &a, const Candidate &b) {
    return a.Potential < b.Potential;
  };
  std::ranges::stable_sort(Candidates, byPotential);
  const std::size_t slots =
      std::size_t{State.rankCount()} * State.slotsPerRank();
  const std::size_t fullEvaluations =
      std::max<std::size_t>(2, Limits.EvaluationBudgetSlots / slots);
  if (Candidates.size() > fullEvaluations)
    Candidates.resize(fullEvaluations);
  const double now = State.potential();
  const Candidate *best = nullptr;
  double bestDrop = minPotentialDrop * now;
  for (Candidate &candidate : Candidates) {
    candidate.Potential = evaluate(candidate.CandidateMove, EvaluationSweeps);
    const double drop =
        (now - candidate.Potential) /
        static_cast<double>(candidate.CandidateMove.ChangeCount);
    if (drop > bestDrop) {
      bestDrop = drop;
      best = &candidate;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  const Move move = best->CandidateMove;
  apply(move);
  State.balanceAll(ChosenSweeps, SweepTolerance);
  return move;
}

} // namespace bergamot::experts
