#include "libbergamotrouting/subsetplanner.h"

#include "libbergamotbase/digest.h"
#include "libbergamotrouting/rendezvous.h"

#include <algorithm>
#include <utility>

namespace bergamot::routing {

namespace {

struct ScoredPair {
  double Score;
  std::uint32_t Entry;
  std::uint32_t Target;
};

std::vector<ScoredPair> pairsByScore(std::span<const VmId> entries,
                                     std::span<const WeightedTarget> targets) {
  std::vector<std::uint64_t> targetHashes;
  for (const auto &it : targets)
    targetHashes.push_back(base::xxHash64(it.Id.Value));
  std::vector<ScoredPair> pairs;
  pairs.reserve(entries.size() * targets.size());
  for (std::uint32_t i = 0; i < entries.size(); ++i) {
    const std::uint64_t entryHash = base::xxHash64(entries[i].Value);
    for (std::uint32_t j = 0; j < targets.size(); ++j)
      pairs.push_back(
          {rendezvousScore(rendezvousHash(entryHash, targetHashes[j]),
                           targets[j].Weight),
           i, j});
  }
  std::sort(
      pairs.begin(), pairs.end(), [](const ScoredPair &a, const ScoredPair &b) {
        if (a.Score != b.Score)
          return a.Score > b.Score;
        return std::pair(a.Entry, a.Target) < std::pair(b.Entry, b.Target);
      });
  return pairs;
}

// Returns how many subsets each target should be in: a fractional number in
// exact proportion to its weight, at most the number of entries. The excess of
// targets that reach this maximum goes to the others.
std::vector<double> quotas(std::size_t entryCount, double assignmentCount,
                           std::span<const WeightedTarget> targets) {
  std::vector<double> quota(targets.size(), 0);
  std::vector<bool> capped(targets.size(), false);
  for (std::size_t round = 0; round < targets.size(); ++round) {
    double weight = 0;
    double remaining = assignmentCount;
    for (std::size_t i = 0; i < targets.size(); ++i)
      if (capped[i])
        remaining -= static_cast<double>(entryCount);
      else
        weight += targets[i].Weight;
    bool changed = false;
    for (std::size_t i = 0; i < targets.size(); ++i) {
      if (capped[i] || weight <= 0)
        continue;
      quota[i] = remaining * targets[i].Weight / weight;
      if (quota[i] < static_cast<double>(entryCount))
        continue;
      quota[i] = static_cast<double>(entryCount);
      capped[i] = changed = true;
    }
    if (!changed)
      break;
  }
  return quota;
}

// Rounds quotas to whole numbers of subsets. Each target has its own rounding
// threshold, so that a small change of the quotas changes few limits; with a
// common threshold, adding or removing one entry can change the limits of all
// targets.
std::vector<std::uint32_t>
roundQuotas(const std::vector<double> &quota,
            std::span<const WeightedTarget> targets) {
  std::vector<std::uint32_t> limits;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const std::uint64_t hash = base::xxHash64(targets[i].Id.Value, 1);
    const double threshold = static_cast<double>(hash >> 11) * 0x1.0p-53;
    limits.push_back(static_cast<std::uint32_t>(quota[i] + threshold));
  }
  return limits;
}

class Assignment {
public:
  Assignment(std::size_t entryCount, std::size_t targetCount, std::size_t size)
      : EntryCount(entryCount), TargetCount(targetCount), Size(size),
        Assigned(entryCount * targetCount, false), Sizes(entryCount, 0),
        Counts(targetCount, 0) {}

  bool contains(std::uint32_t entry, std::uint32_t target) const {
    return Assigned[entry * TargetCount + target];
  }

  void add(std::uint32_t entry, std::uint32_t target) {
    Assigned[entry * TargetCount + target] = true;
    ++Sizes[entry];
    ++Counts[target];
  }

  void remove(std::uint32_t entry, std::uint32_t target) {
    Assigned[entry * TargetCount + target] = false;
    --Sizes[entry];
    --Counts[target];
  }

  // Assigns pairs in order up to the limits.
  void fill(const std::vector<ScoredPair> &pairs,
            const std::vector<std::uint32_t> &limits) {
    for (const auto &pair : pairs)
      if (Sizes[pair.Entry] < Size &&
          Counts[pair.Target] < limits[pair.Target] &&
          !contains(pair.Entry, pair.Target))
        add(pair.Entry, pair.Target);
  }

  // Fills the subsets of entries that already have every target below its
  // limit: another entry gives up one of its targets to them and gets such a
  // target in exchange.
  void fillBySwaps(const std::vector<ScoredPair> &pairs,
                   const std::vector<std::uint32_t> &limits) {
    for (const auto &pair : pairs) {
      if (Counts[pair.Target] >= limits[pair.Target] ||
          contains(pair.Entry, pair.Target))
        continue;
      for (std::uint32_t entry = 0; entry < EntryCount; ++entry)
        if (Sizes[entry] < Size && trySwap(pair, entry))
          break;
    }
  }

  std::size_t EntryCount;
  std::size_t TargetCount;
  std::size_t Size;
  std::vector<bool> Assigned;
  std::vector<std::size_t> Sizes;
  std::vector<std::uint32_t> Counts;

  // Raises each target to its quota, rounded down, by taking assignments from
  // targets that are above theirs.
  void balance(const std::vector<ScoredPair> &pairs,
               const std::vector<double> &quota) {
    const auto excess = [&](std::uint32_t target) {
      return static_cast<std::int64_t>(Counts[target]) -
             static_cast<std::int64_t>(quota[target]);
    };
    for (const auto &pair : pairs) {
      if (excess(pair.Target) >= 0 || contains(pair.Entry, pair.Target))
        continue;
      std::int64_t highestExcess = 0;
      std::uint32_t donor = 0;
      for (std::uint32_t target = 0; target < TargetCount; ++target) {
        if (!contains(pair.Entry, target) || excess(target) <= highestExcess)
          continue;
        highestExcess = excess(target);
        donor = target;
      }
      if (highestExcess == 0)
        continue;
      remove(pair.Entry, donor);
      add(pair.Entry, pair.Target);
    }
  }

private:
  bool trySwap(const ScoredPair &pair, std::uint32_t entry) {
    for (std::uint32_t target = 0; target < TargetCount; ++target) {
      if (!contains(pair.Entry, target) || contains(entry, target))
        continue;
      remove(pair.Entry, target);
      add(pair.Entry, pair.Target);
      add(entry, target);
      return true;
    }
    return false;
  }
};

template <typename T> std::vector<T> sortedById(std::span<const T> items) {
  std::vector<T> sorted(items.begin(), items.end());
  std::sort(sorted.begin(), sorted.end(), [](const T &a, const T &b) {
    if constexpr (requires { a.Id; })
      return a.Id < b.Id;
    else
      return a < b;
  });
  return sorted;
}

} // namespace

SubsetPlanner::SubsetPlanner(const SubsetSettings &settings)
    : Settings(settings) {}

SubsetPlan
SubsetPlanner::plan(std::span<const VmId> allEntries,
                    std::span<const WeightedTarget> allTargets) const {
  SubsetPlan plan;
  if (allEntries.empty())
    return plan;
  const auto entries = sortedById(allEntries);
  const auto targets = sortedById(allTargets);
  const std::size_t minSize =
      (targets.size() * Settings.MinEntriesPerTarget + entries.size() - 1) /
      entries.size();
  const std::size_t size =
      std::min(targets.size(), std::max(Settings.MinSubsetSize, minSize));
  const auto pairs = pairsByScore(entries, targets);
  const auto quota = quotas(
      entries.size(), static_cast<double>(size * entries.size()), targets);
  auto limits = roundQuotas(quota, targets);
  Assignment assignment(entries.size(), targets.size(), size);
  assignment.fill(pairs, limits);
  assignment.fillBySwaps(pairs, limits);
  // After rounding, the sum of the limits may be slightly below the total.
  for (auto &limit : limits)
    limit = std::min<std::uint32_t>(limit + 1, entries.size());
  assignment.fill(pairs, limits);
  assignment.fillBySwaps(pairs, limits);
  assignment.balance(pairs, quota);
  for (std::uint32_t i = 0; i < entries.size(); ++i)
    for (std::uint32_t j = 0; j < targets.size(); ++j)
      if (assignment.contains(i, j))
        plan[entries[i]].push_back(targets[j].Id);
  return plan;
}

} // namespace bergamot::routing
