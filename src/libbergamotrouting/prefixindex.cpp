#include "libbergamotrouting/prefixindex.h"

namespace bergamot::routing {

namespace {

constexpr double GapDiscountFactor = 0.5;
// Only this many of a prompt's longest prefixes are looked up, which bounds the
// cost of a lookup.
constexpr std::size_t MaxLookups = 16;

} // namespace

PrefixIndex::PrefixIndex(std::size_t capacity) : Capacity(capacity) {}

void PrefixIndex::addEvent(TargetIndex target, const CacheEvent &event) {
  if (target >= EventSources.size())
    EventSources.resize(target + 1);
  EventSource &source = EventSources[target];
  if (event.BackEndIncarnation < source.BackEndIncarnation)
    return;
  if (event.BackEndIncarnation > source.BackEndIncarnation) {
    source.BackEndIncarnation = event.BackEndIncarnation;
    ++source.Generation;
  } else if (event.Sequence <= source.LastSequence) {
    return;
  } else if (event.Sequence != source.LastSequence + 1) {
    ++source.GapCount;
  }
  source.LastSequence = event.Sequence;
  switch (event.Change) {
  case CacheEvent::Kind::Stored:
    store(target, event.PrefixHash);
    break;
  case CacheEvent::Kind::Evicted:
    evict(target, event.PrefixHash);
    break;
  case CacheEvent::Kind::Cleared:
    ++source.Generation;
    break;
  }
}

void PrefixIndex::removeTarget(TargetIndex target) {
  if (target < EventSources.size())
    ++EventSources[target].Generation;
}

PrefixMatch
PrefixIndex::longestMatch(std::span<const std::uint64_t> prefixHashes) {
  for (std::size_t i = 0; i < prefixHashes.size() && i < MaxLookups; ++i) {
    const std::size_t n = prefixHashes.size() - i;
    const auto it = Entries.find(prefixHashes[n - 1]);
    if (it == Entries.end())
      continue;
    const Entry &entry = *it->second;
    const EventSource &source = EventSources[entry.Target];
    if (entry.Generation != source.Generation) {
      Lru.erase(it->second);
      Entries.erase(it);
      continue;
    }
    Lru.splice(Lru.begin(), Lru, it->second);
    const double matchedFraction =
        static_cast<double>(n) / static_cast<double>(prefixHashes.size());
    const bool hasGap = entry.GapCount != source.GapCount;
    return {entry.Target,
            hasGap ? matchedFraction * GapDiscountFactor : matchedFraction};
  }
  return {};
}

void PrefixIndex::store(TargetIndex target, std::uint64_t prefixHash) {
  const EventSource &source = EventSources[target];
  const Entry entry{prefixHash, target, source.Generation, source.GapCount};
  const auto it = Entries.find(prefixHash);
  if (it != Entries.end()) {
    *it->second = entry;
    Lru.splice(Lru.begin(), Lru, it->second);
    return;
  }
  if (Capacity == 0)
    return;
  if (Entries.size() >= Capacity) {
    Entries.erase(Lru.back().PrefixHash);
    Lru.pop_back();
  }
  Lru.push_front(entry);
  Entries.emplace(prefixHash, Lru.begin());
}

void PrefixIndex::evict(TargetIndex target, std::uint64_t prefixHash) {
  const auto it = Entries.find(prefixHash);
  if (it == Entries.end() || it->second->Target != target)
    return;
  Lru.erase(it->second);
  Entries.erase(it);
}

} // namespace bergamot::routing
