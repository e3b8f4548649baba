#include "libbergamotexperts/expertmap.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"

#include <algorithm>

namespace bergamot::experts {

namespace {

constexpr std::uint32_t Magic = 0x31504d45; // "EMP1"
constexpr std::size_t HeaderWords = 4;
// A larger size can only come from corrupted bytes.
constexpr std::uint32_t MaxSize = 1 << 16;

void appendWord(std::string &out, std::uint32_t word) {
  for (int shift = 0; shift < 32; shift += 8)
    out.push_back(static_cast<char>((word >> shift) & 0xff));
}

std::uint32_t wordAt(std::string_view bytes, std::size_t index) {
  std::uint32_t word = 0;
  for (std::size_t i = 0; i < 4; ++i)
    word |= static_cast<std::uint32_t>(
                static_cast<unsigned char>(bytes[index * 4 + i]))
            << (8 * i);
  return word;
}

[[noreturn]] void fail(const std::string &message) {
  throw base::Error(base::Step::Experts, "", message);
}

} // namespace

ExpertMap::ExpertMap(std::uint32_t experts, std::uint32_t ranks,
                     std::uint32_t slotsPerRank)
    : Experts(experts), Ranks(ranks), SlotsPerRank(slotsPerRank),
      Slots(static_cast<std::size_t>(ranks) * slotsPerRank) {}

std::span<const Slot> ExpertMap::slots(std::uint32_t rank) const {
  return std::span(Slots).subspan(static_cast<std::size_t>(rank) * SlotsPerRank,
                                  SlotsPerRank);
}

bool ExpertMap::holds(std::uint32_t rank, std::uint32_t expert) const {
  return std::ranges::any_of(
      slots(rank), [=](const Slot &slot) { return slot.Expert == expert; });
}

std::vector<std::uint32_t> ExpertMap::replicaRanks(std::uint32_t expert) const {
  std::vector<std::uint32_t> ranks;
  for (std::uint32_t r = 0; r < Ranks; ++r)
    if (holds(r, expert))
      ranks.push_back(r);
  return ranks;
}

std::vector<MapError> ExpertMap::errors() const {
  std::vector<MapError> found;
  std::vector<std::uint64_t> shareSums(Experts, 0);
  std::vector<std::uint32_t> lastRank(Experts, NoExpert);
  for (std::size_t i = 0; i < Slots.size(); ++i) {
    const auto [expert, share] = Slots[i];
    const auto rank = static_cast<std::uint32_t>(i / SlotsPerRank);
    if (expert == NoExpert) {
      if (share != 0)
        found.push_back({MapErrorKind::ShareOnEmptySlot, expert, rank});
      continue;
    }
    if (expert >= Experts) {
      found.push_back({MapErrorKind::ExpertOutOfRange, expert, rank});
      continue;
    }
    if (lastRank[expert] == rank)
      found.push_back({MapErrorKind::ExpertTwiceOnRank, expert, rank});
    lastRank[expert] = rank;
    shareSums[expert] += share;
  }
  for (std::uint32_t e = 0; e < Experts; ++e) {
    if (lastRank[e] == NoExpert)
      found.push_back({MapErrorKind::ExpertMissing, e, 0});
    else if (shareSums[e] != ShareScale)
      found.push_back({MapErrorKind::ShareSumMismatch, e, 0});
  }
  return found;
}

std::string ExpertMap::serialize() const {
  std::string out;
  out.reserve((HeaderWords + Slots.size() * 2) * 4);
  for (const std::uint32_t word : {Magic, Experts, Ranks, SlotsPerRank})
    appendWord(out, word);
  for (const Slot &slot : Slots) {
    appendWord(out, slot.Expert);
    appendWord(out, slot.Share);
  }
  return out;
}

ExpertMap ExpertMap::parse(std::string_view bytes) {
  if (bytes.size() < HeaderWords * 4 || wordAt(bytes, 0) != Magic)
    fail("expert map has no valid header");
  const std::uint32_t experts = wordAt(bytes, 1);
  const std::uint32_t ranks = wordAt(bytes, 2);
  const std::uint32_t slotsPerRank = wordAt(bytes, 3);
  if (std::max({experts, ranks, slotsPerRank}) > MaxSize)
    fail("expert map has sizes above the limit");
  const std::uint64_t slots = std::uint64_t{ranks} * slotsPerRank;
  if (bytes.size() != (HeaderWords + slots * 2) * 4)
    fail("expert map length does not match its sizes");
  ExpertMap map(experts, ranks, slotsPerRank);
  for (std::size_t i = 0; i < slots; ++i)
    map.Slots[i] = {wordAt(bytes, HeaderWords + i * 2),
                    wordAt(bytes, HeaderWords + i * 2 + 1)};
  if (!map.errors().empty())
    fail("expert map is inconsistent");
  return map;
}

std::string ExpertMap::contentHash() const {
  return base::sha256Hex(serialize());
}

std::string groupContentHash(std::span<const ExpertMap> layers) {
  std::string all;
  for (const ExpertMap &layer : layers)
    all += layer.contentHash();
  return base::sha256Hex(all);
}

std::vector<ReplicaTransfer> transfersBetween(const ExpertMap &current,
                                              const ExpertMap &next) {
  std::vector<ReplicaTransfer> transfers;
  for (std::uint32_t r = 0; r < next.rankCount(); ++r)
    for (const Slot &slot : next.slots(r))
      if (slot.Expert != NoExpert && !current.holds(r, slot.Expert))
        transfers.push_back({slot.Expert, r});
  return transfers;
}

} // namespace bergamot::experts
