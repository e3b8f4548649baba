#include "libbergamotrouting/prefixindex.h"

namespace bergamot::routing {

namespace {

constexpr double DiscountAfterGap = 0.5;
// Longer prompts are matched by their longest prefixes only, which bounds the
// cost of a look-up.
constexpr std::size_t MostLookups = 16;

} // namespace

PrefixIndex::PrefixIndex(std::size_t capacity) : Capacity(capacity) {}

void PrefixIndex::addEvent(TargetIndex target, const CacheEvent &event) {
  if (target >= Sources.size())
    Sources.resize(target + 1);
  Source &source = Sources[target];
  if (event.BackEnd < source.BackEnd)
    return;
  if (event.BackEnd > source.BackEnd) {
    source.BackEnd = event.BackEnd;
    ++source.Generation;
  } else if (event.Sequence <= source.LastSequence) {
    return;
  } else if (event.Sequence != source.LastSequence + 1) {
    ++source.GapCount;
  }
  source.LastSequence = event.Sequence;
  switch (event.Change) {
  case CacheEvent::Kind::Stored:
    store(target, event.Block);
    break;
  case CacheEvent::Kind::Evicted:
    evict(target, event.Block);
    break;
  case CacheEvent::Kind::Cleared:
    ++source.Generation;
    break;
  }
}

void PrefixIndex::removeTarget(TargetIndex target) {
  if (target < Sources.size())
    ++Sources[target].Generation;
}

PrefixMatch PrefixIndex::longestMatch(std::span<const std::uint64_t> blocks) {
  for (std::size_t i = 0; i < blocks.size() && i < MostLookups; ++i) {
    const std::size_t n = blocks.size() - i;
    const auto it = Entries.find(blocks[n - 1]);
    if (it == Entries.end())
      continue;
    const Entry &entry = *it->second;
    const Source &source = Sources[entry.Target];
    if (entry.Generation != source.Generation) {
      ByUse.erase(it->second);
      Entries.erase(it);
      continue;
    }
    ByUse.splice(ByUse.begin(), ByUse, it->second);
    const double part =
        static_cast<double>(n) / static_cast<double>(blocks.size());
    const bool gap = entry.GapCount != source.GapCount;
    return {entry.Target, gap ? part * DiscountAfterGap : part};
  }
  return {};
}

void PrefixIndex::store(TargetIndex target, std::uint64_t block) {
  const Source &source = Sources[target];
  const Entry entry{block, target, source.Generation, source.GapCount};
  const auto it = Entries.find(block);
  if (it != Entries.end()) {
    *it->second = entry;
    ByUse.splice(ByUse.begin(), ByUse, it->second);
    return;
  }
  if (Capacity == 0)
    return;
  if (Entries.size() >= Capacity) {
    Entries.erase(ByUse.back().Block);
    ByUse.pop_back();
  }
  ByUse.push_front(entry);
  Entries.emplace(block, ByUse.begin());
}

void PrefixIndex::evict(TargetIndex target, std::uint64_t block) {
  const auto it = Entries.find(block);
  if (it == Entries.end() || it->second->Target != target)
    return;
  ByUse.erase(it->second);
  Entries.erase(it);
}

} // namespace bergamot::routing
