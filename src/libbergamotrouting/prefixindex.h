#ifndef BERGAMOT_LIBBERGAMOTROUTING_PREFIXINDEX_H
#define BERGAMOT_LIBBERGAMOTROUTING_PREFIXINDEX_H

#include "libbergamotrouting/routingtypes.h"

#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace bergamot::routing {

/// Index of a target in the tables of a TargetSelector.
using TargetIndex = std::uint32_t;

/// A change in an engine's prefix cache. PrefixHash is the hash of the prompt
/// prefix up to and including one cache block.
struct CacheEvent {
  enum class Kind { Stored, Evicted, Cleared };

  Incarnation BackEndIncarnation;
  std::uint64_t Sequence = 0;
  Kind Change = Kind::Stored;
  std::uint64_t PrefixHash = 0;
};

/// The target that caches the longest known prefix of a prompt. MatchFraction
/// is the fraction of the prompt's blocks that it caches, halved if events were
/// lost.
struct PrefixMatch {
  TargetIndex Target = 0;
  double MatchFraction = 0;
};

/// Maps prompt prefixes to the targets that last cached them, from cache events
/// that arrive late and with gaps. The index is a hint: a wrong answer costs
/// time, never correctness. The least recently used prefixes are dropped.
class PrefixIndex {
public:
  explicit PrefixIndex(std::size_t capacity);

  /// Applies an event. Duplicate events and those of an older incarnation are
  /// ignored. After a gap in the sequence, a match with a prefix that the
  /// target stored before the gap counts half, as evictions may have been
  /// missed.
  void addEvent(TargetIndex target, const CacheEvent &event);

  /// Invalidates all prefixes of a target.
  void removeTarget(TargetIndex target);

  /// Finds the target that caches the longest prefix. prefixHashes are the
  /// hashes of the prefixes of a prompt, shortest first; MatchFraction is 0 if
  /// no target has any of them.
  PrefixMatch longestMatch(std::span<const std::uint64_t> prefixHashes);

  std::size_t size() const { return Entries.size(); }

private:
  struct EventSource {
    Incarnation BackEndIncarnation;
    std::uint64_t LastSequence = 0;
    /// Prefixes stored in an earlier generation are invalid, and matches with
    /// those stored before the last gap count half.
    std::uint32_t Generation = 0;
    std::uint32_t GapCount = 0;
  };
  struct Entry {
    std::uint64_t PrefixHash = 0;
    TargetIndex Target = 0;
    std::uint32_t Generation = 0;
    std::uint32_t GapCount = 0;
  };

  void store(TargetIndex target, std::uint64_t prefixHash);
  void evict(TargetIndex target, std::uint64_t prefixHash);

  std::size_t Capacity;
  std::vector<EventSource> EventSources;
  std::list<Entry> Lru;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> Entries;
};

} // namespace bergamot::routing

#endif
