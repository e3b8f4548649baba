#include "libbergamotexperts/groupplanner.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace bergamot::experts {

namespace {

/// Number of most loaded ranks whose experts are considered for replication,
/// and number of least loaded ranks considered as destinations. Larger values
/// found no better plans on synthetic loads and take longer.
constexpr std::size_t SourceRanks = 2;
constexpr std::size_t ExpertsPerSource = 4;
constexpr std::size_t DestinationRanks = 6;
constexpr std::size_t EvictionsPerRank = 3;
constexpr unsigned MaxEdits = 64;

/// Time that the copies of one change may take. One expert of the small
/// deployments takes this long, and two per change gave worse results there.
constexpr std::chrono::milliseconds CopyBudget{400};

/// Minimum gain of a copy, as a base value and per second of copying.
constexpr double BaseCopyGain = 0.01;
constexpr double CopyGainPerSecond = 0.17;

constexpr std::uint32_t NoExpertIndex = 0xffffffff;

/// Adds an expert to a rank, in a free slot or replacing another expert; or
/// only removes a replica.
struct Edit {
  std::uint32_t Expert = NoExpertIndex;
  std::uint32_t Rank = 0;
  std::uint32_t Evicted = NoExpertIndex;
  double Gain = 0;
};

/// The eighth power emphasizes the most loaded ranks but still rewards
/// unloading one of several equally loaded ranks.
double eighthPower(double x) {
  const double x2 = x * x;
  const double x4 = x2 * x2;
  return x4 * x4;
}

/// Planning state of one set.
class SetState {
public:
  SetState(const std::vector<std::vector<std::uint32_t>> &ranks,
           const std::vector<double> &loads,
           const std::vector<double> &slowdowns)
      : RankExperts(ranks), Loads(loads), Slowdowns(slowdowns),
        RankLoads(ranks.size(), 0), NewCopies(ranks.size(), 0),
        Holders(loads.size()) {
    Slowdowns.resize(ranks.size(), 1);
    for (std::uint32_t r = 0; r < RankExperts.size(); ++r)
      for (const std::uint32_t e : RankExperts[r])
        Holders[e].push_back(r);
    double total = 0;
    for (std::uint32_t e = 0; e < Loads.size(); ++e) {
      total += Loads[e];
      for (const std::uint32_t r : Holders[e])
        RankLoads[r] += Slowdowns[r] * tokensPerHolder(e);
    }
    Mean = total / static_cast<double>(RankExperts.size());
    if (Mean <= 0)
      Mean = 1;
    for (const double it : RankLoads)
      PowerSum += eighthPower(it / Mean);
    OriginalExperts = RankExperts;
  }

  double skew() const {
    return *std::max_element(RankLoads.begin(), RankLoads.end()) / Mean;
  }
  /// Smooth approximation of skew().
  double smoothSkew() const {
    return std::pow(std::max(PowerSum, 0.0), 1.0 / 8);
  }

  bool holds(std::uint32_t rank, std::uint32_t expert) const {
    const auto &it = Holders[expert];
    return std::find(it.begin(), it.end(), rank) != it.end();
  }
  bool heldOriginally(std::uint32_t rank, std::uint32_t expert) const {
    const auto &it = OriginalExperts[rank];
    return std::find(it.begin(), it.end(), expert) != it.end();
  }

  void apply(const Edit &edit) {
    if (edit.Evicted != NoExpertIndex)
      remove(edit.Rank, edit.Evicted);
    if (edit.Expert != NoExpertIndex)
      add(edit.Rank, edit.Expert);
  }
  void revert(const Edit &edit) {
    if (edit.Expert != NoExpertIndex)
      remove(edit.Rank, edit.Expert);
    if (edit.Evicted != NoExpertIndex)
      add(edit.Rank, edit.Evicted);
  }

  /// Returns the ranks in descending order of load.
  std::vector<std::uint32_t> ranksByLoad() const {
    std::vector<std::uint32_t> sorted(RankExperts.size());
    for (std::uint32_t r = 0; r < sorted.size(); ++r)
      sorted[r] = r;
    std::sort(sorted.begin(), sorted.end(),
              [&](auto a, auto b) { return RankLoads[a] > RankLoads[b]; });
    return sorted;
  }
  /// Returns the experts of a rank that contribute most to its load.
  std::vector<std::uint32_t> heaviestExperts(std::uint32_t rank) const {
    std::vector<std::uint32_t> experts = RankExperts[rank];
    std::sort(experts.begin(), experts.end(), [&](auto a, auto b) {
      return tokensPerHolder(a) > tokensPerHolder(b);
    });
    experts.resize(std::min(experts.size(), ExpertsPerSource));
    return experts;
  }
  /// Returns the experts that a rank may evict because other ranks hold them
  /// too, in ascending order of load.
  std::vector<std::uint32_t> evictableExperts(std::uint32_t rank) const {
    std::vector<std::uint32_t> experts;
    for (const std::uint32_t e : RankExperts[rank])
      if (Holders[e].size() > 1)
        experts.push_back(e);
    std::sort(experts.begin(), experts.end(), [&](auto a, auto b) {
      return tokensPerHolder(a) < tokensPerHolder(b);
    });
    experts.resize(std::min(experts.size(), EvictionsPerRank));
    return experts;
  }

  std::uint32_t newCopies(std::uint32_t rank) const { return NewCopies[rank]; }
  std::size_t expertCount(std::uint32_t rank) const {
    return RankExperts[rank].size();
  }
  const std::vector<std::vector<std::uint32_t>> &rankExperts() const {
    return RankExperts;
  }
  bool isReplicated(std::uint32_t expert) const {
    return Holders[expert].size() > 1;
  }

private:
  double tokensPerHolder(std::uint32_t expert) const {
    return Holders[expert].empty()
               ? 0
               : Loads[expert] / static_cast<double>(Holders[expert].size());
  }
  void setHolders(std::uint32_t expert, std::uint32_t rank, bool add) {
    addTokens(expert, -tokensPerHolder(expert));
    auto &holders = Holders[expert];
    if (add)
      holders.push_back(rank);
    else
      holders.erase(std::find(holders.begin(), holders.end(), rank));
    addTokens(expert, tokensPerHolder(expert));
  }
  void addTokens(std::uint32_t expert, double tokens) {
    for (const std::uint32_t r : Holders[expert]) {
      PowerSum -= eighthPower(RankLoads[r] / Mean);
      RankLoads[r] += Slowdowns[r] * tokens;
      PowerSum += eighthPower(RankLoads[r] / Mean);
    }
  }
  void add(std::uint32_t rank, std::uint32_t expert) {
    setHolders(expert, rank, true);
    RankExperts[rank].push_back(expert);
    NewCopies[rank] += heldOriginally(rank, expert) ? 0 : 1;
  }
  void remove(std::uint32_t rank, std::uint32_t expert) {
    setHolders(expert, rank, false);
    RankExperts[rank].erase(
        std::find(RankExperts[rank].begin(), RankExperts[rank].end(), expert));
    NewCopies[rank] -= heldOriginally(rank, expert) ? 0 : 1;
  }

  std::vector<std::vector<std::uint32_t>> RankExperts;
  std::vector<std::vector<std::uint32_t>> OriginalExperts;
  const std::vector<double> &Loads;
  std::vector<double> Slowdowns;
  /// Each rank's tokens times its slowdown.
  std::vector<double> RankLoads;
  std::vector<std::uint32_t> NewCopies;
  std::vector<std::vector<std::uint32_t>> Holders;
  double Mean = 1;
  /// Sum of the eighth powers of the relative rank loads. It is updated
  /// incrementally, as a search tries several hundred edits that each
  /// change only a few ranks.
  double PowerSum = 0;
};

/// Searches for the best next edit of one set.
class EditSearch {
public:
  EditSearch(SetState &set, const GroupPlanLimits &limits,
             const std::vector<std::uint32_t> &newCopiesPerRank)
      : Set(set), Limits(limits), NewCopiesPerRank(newCopiesPerRank),
        InitialSkew(set.smoothSkew()) {}

  Edit best() {
    const auto ranks = Set.ranksByLoad();
    for (std::size_t i = 0; i < std::min(SourceRanks, ranks.size()); ++i) {
      for (const std::uint32_t expert : Set.heaviestExperts(ranks[i])) {
        if (Set.isReplicated(expert))
          evaluate({NoExpertIndex, ranks[i], expert});
        evaluateCopies(expert, ranks);
      }
    }
    return Best;
  }

private:
  void evaluateCopies(std::uint32_t expert,
                      const std::vector<std::uint32_t> &ranks) {
    const std::size_t n = std::min(DestinationRanks, ranks.size());
    for (std::size_t i = 0; i < n; ++i) {
      const std::uint32_t rank = ranks[ranks.size() - 1 - i];
      if (Set.holds(rank, expert) || !mayCopy(rank, expert))
        continue;
      if (Set.expertCount(rank) < Limits.SlotsPerRank)
        evaluate({expert, rank, NoExpertIndex});
      for (const std::uint32_t evicted : Set.evictableExperts(rank))
        evaluate({expert, rank, evicted});
    }
  }

  bool mayCopy(std::uint32_t rank, std::uint32_t expert) const {
    if (Set.heldOriginally(rank, expert))
      return true;
    return Set.newCopies(rank) < Limits.MaxNewPerSet &&
           NewCopiesPerRank[rank] < Limits.MaxNewPerRank;
  }

  void evaluate(Edit edit) {
    Set.apply(edit);
    edit.Gain = InitialSkew - Set.smoothSkew();
    Set.revert(edit);
    if (edit.Gain > Best.Gain)
      Best = edit;
  }

  SetState &Set;
  const GroupPlanLimits &Limits;
  const std::vector<std::uint32_t> &NewCopiesPerRank;
  double InitialSkew;
  Edit Best;
};

double meanSkew(const std::vector<SetState> &sets) {
  double sum = 0;
  for (const auto &it : sets)
    sum += it.skew();
  return sets.empty() ? 1 : sum / static_cast<double>(sets.size());
}

std::vector<SetState> makeSetStates(const GroupMap &map,
                                    const ExpertLoads &loads,
                                    const std::vector<double> &slowdowns) {
  std::vector<SetState> sets;
  for (std::size_t s = 0; s < map.size(); ++s)
    sets.emplace_back(map[s], loads[s], slowdowns);
  return sets;
}

std::vector<std::uint32_t> newCopiesPerRank(const std::vector<SetState> &sets) {
  std::vector<std::uint32_t> sums(sets.front().rankExperts().size(), 0);
  for (const auto &set : sets)
    for (std::uint32_t r = 0; r < sums.size(); ++r)
      sums[r] += set.newCopies(r);
  return sums;
}

} // namespace

std::uint32_t maxCopiesPerChange(base::Duration copyTime) {
  if (copyTime <= base::Duration::zero())
    return 1;
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(1, base::Duration(CopyBudget) / copyTime));
}

double minCopyGain(base::Duration copyTime) {
  const std::chrono::duration<double> seconds = copyTime;
  return std::max(BaseCopyGain, CopyGainPerSecond * seconds.count());
}

double groupSkew(const GroupMap &map, const ExpertLoads &loads,
                 const std::vector<double> &rankSlowdowns) {
  return meanSkew(makeSetStates(map, loads, rankSlowdowns));
}

GroupPlan planGroup(const GroupMap &current, const ExpertLoads &loads,
                    const GroupPlanLimits &limits) {
  auto sets = makeSetStates(current, loads, limits.RankSlowdowns);
  GroupPlan plan;
  plan.SkewBefore = meanSkew(sets);
  std::vector<std::uint32_t> copies = newCopiesPerRank(sets);
  std::vector<std::optional<Edit>> best(sets.size());
  for (unsigned n = 0; n < MaxEdits * sets.size(); ++n) {
    std::size_t chosen = 0;
    for (std::size_t s = 0; s < sets.size(); ++s) {
      // The best edit changes only if the set has changed or its rank has
      // used up its copies.
      if (!best[s] || (best[s]->Expert != NoExpertIndex &&
                       copies[best[s]->Rank] >= limits.MaxNewPerRank))
        best[s] = EditSearch(sets[s], limits, copies).best();
      if (best[s]->Gain > best[chosen]->Gain)
        chosen = s;
    }
    if (best[chosen]->Gain < limits.MinGain)
      break;
    sets[chosen].apply(*best[chosen]);
    best[chosen].reset();
    copies = newCopiesPerRank(sets);
  }
  plan.SkewAfter = meanSkew(sets);
  for (const auto &set : sets)
    plan.Map.push_back(set.rankExperts());
  for (const std::uint32_t it : copies) {
    plan.Copies += it;
    plan.MaxCopiesPerRank = std::max(plan.MaxCopiesPerRank, it);
  }
  return plan;
}

} // namespace bergamot::experts
