#include "libbergamotexperts/splitstate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamot::experts {

namespace {

// An expert without counted tokens is treated as having this fraction of the
// mean, so that its shares stay defined and a first burst doesn't all go to
// one rank.
constexpr double MinTokenFraction = 1e-6;

} // namespace

SplitState::SplitState(const ExpertMap &map, std::span<const RankInfo> ranks,
                       std::span<const double> tokens)
    : Experts(map.expertCount()), Ranks(map.rankCount()),
      SlotsPerRank(map.slotsPerRank()), Tokens(tokens.begin(), tokens.end()),
      SlotExpert(map.slots().size(), NoExpert), Replicas(Experts),
      SlotTokens(map.slots().size(), 0.0), RankTokens(Ranks, 0.0) {
  for (const double count : Tokens)
    TotalTokens += count;
  const double least = std::max(TotalTokens, 1.0) / Experts * MinTokenFraction;
  for (double &count : Tokens)
    count = std::max(count, least);
  for (const RankInfo &rank : ranks) {
    Speeds.push_back(std::max(rank.Speed, 0.0));
    TotalSpeed += Speeds.back();
  }
  for (std::uint32_t i = 0; i < SlotExpert.size(); ++i) {
    const Slot &slot = map.slots()[i];
    if (slot.Expert == NoExpert)
      continue;
    setExpert(i, slot.Expert);
    SlotTokens[i] = Tokens[slot.Expert] * slot.Share / ShareScale;
    RankTokens[rankOf(i)] += SlotTokens[i];
  }
}

void SplitState::setExpert(std::uint32_t slot, std::uint32_t expert) {
  const std::uint32_t old = SlotExpert[slot];
  if (old != NoExpert) {
    auto &slots = Replicas[old];
    *std::ranges::find(slots, slot) = slots.back();
    slots.pop_back();
  }
  RankTokens[rankOf(slot)] -= SlotTokens[slot];
  SlotTokens[slot] = 0;
  SlotExpert[slot] = expert;
  if (expert != NoExpert)
    Replicas[expert].push_back(slot);
}

double SplitState::balanceExpert(std::uint32_t expert) {
  Scratch.clear();
  for (const std::uint32_t slot : Replicas[expert]) {
    const std::uint32_t rank = rankOf(slot);
    const double speed = Speeds[rank];
    if (speed > 0)
      Scratch.push_back(
          {(RankTokens[rank] - SlotTokens[slot]) / speed, speed, slot});
    else {
      RankTokens[rank] -= SlotTokens[slot];
      SlotTokens[slot] = 0;
    }
  }
  // Insertion sort: an expert has few replicas, and their order rarely changes
  // between sweeps.
  for (std::size_t i = 1; i < Scratch.size(); ++i)
    for (std::size_t j = i; j > 0 && Scratch[j].Time < Scratch[j - 1].Time; --j)
      std::swap(Scratch[j], Scratch[j - 1]);
  double speeds = 0;
  double filled = Tokens[expert];
  double level = 0;
  for (std::size_t i = 0; i < Scratch.size(); ++i) {
    speeds += Scratch[i].Speed;
    filled += Scratch[i].Time * Scratch[i].Speed;
    level = filled / speeds;
    if (i + 1 == Scratch.size() || level <= Scratch[i + 1].Time)
      break;
  }
  double change = 0;
  for (const ReplicaLoad &entry : Scratch) {
    const double part = std::max(0.0, (level - entry.Time) * entry.Speed);
    const double delta = part - SlotTokens[entry.Slot];
    change = std::max(change, std::abs(delta));
    RankTokens[rankOf(entry.Slot)] += delta;
    SlotTokens[entry.Slot] = part;
  }
  return change;
}

unsigned SplitState::balanceAll(unsigned maxSweeps, double tolerance) {
  const double enough = tolerance * TotalTokens / Ranks;
  for (unsigned n = 1; n <= maxSweeps; ++n) {
    double change = 0;
    for (std::uint32_t e = 0; e < Experts; ++e)
      change = std::max(change, balanceExpert(e));
    if (change <= enough)
      return n;
  }
  return maxSweeps;
}

bool SplitState::holds(std::uint32_t rank, std::uint32_t expert) const {
  const auto begin = SlotExpert.begin() + rank * SlotsPerRank;
  return std::find(begin, begin + SlotsPerRank, expert) != begin + SlotsPerRank;
}

double SplitState::time(std::uint32_t rank) const {
  if (Speeds[rank] > 0)
    return RankTokens[rank] / Speeds[rank];
  return RankTokens[rank] > TotalTokens * 1e-9
             ? std::numeric_limits<double>::infinity()
             : 0.0;
}

double SplitState::maxTime() const {
  double longest = 0;
  for (std::uint32_t r = 0; r < Ranks; ++r)
    longest = std::max(longest, time(r));
  for (std::uint32_t e = 0; e < Experts; ++e)
    if (std::ranges::none_of(Replicas[e],
                             [&](auto slot) { return isLive(rankOf(slot)); }))
      return std::numeric_limits<double>::infinity();
  return longest;
}

double SplitState::potential() const {
  const double scale = TotalSpeed / std::max(TotalTokens, 1e-9);
  double sum = 0;
  for (std::uint32_t r = 0; r < Ranks; ++r) {
    if (Speeds[r] <= 0)
      continue;
    const double x = RankTokens[r] / Speeds[r] * scale;
    const double x2 = x * x;
    sum += x2 * x2 * x2 * x2;
  }
  return sum / Ranks;
}

void SplitState::save(Saved &saved) const {
  saved.SlotTokens = SlotTokens;
  saved.RankTokens = RankTokens;
}

void SplitState::restore(const Saved &saved) {
  SlotTokens = saved.SlotTokens;
  RankTokens = saved.RankTokens;
}

void SplitState::writeShares(ExpertMap &map, std::uint32_t expert) const {
  auto slots = Replicas[expert];
  if (slots.empty())
    return;
  std::ranges::sort(slots);
  double total = 0;
  for (const auto slot : slots)
    total += SlotTokens[slot];
  std::uint32_t remaining = ShareScale;
  std::uint32_t largest = slots.front();
  for (const auto slot : slots) {
    const double part = total > 0 ? SlotTokens[slot] / total : 0.0;
    const auto share =
        std::min(remaining, static_cast<std::uint32_t>(part * ShareScale));
    remaining -= share;
    map.setSlot(slot, {expert, share});
    if (SlotTokens[slot] > SlotTokens[largest])
      largest = slot;
  }
  map.setSlot(largest, {expert, map.slots()[largest].Share + remaining});
}

ExpertMap SplitState::map() const {
  ExpertMap map(Experts, Ranks, SlotsPerRank);
  for (std::uint32_t e = 0; e < Experts; ++e)
    writeShares(map, e);
  return map;
}

} // namespace bergamot::experts
