#ifndef BERGAMOT_LIBBERGAMOTROUTING_PREFIXINDEX_H
#define BERGAMOT_LIBBERGAMOTROUTING_PREFIXINDEX_H

#include "libbergamotrouting/routingtypes.h"

#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace bergamot::routing {

/// Position of a target in the tables of a TargetSelector.
using TargetIndex = std::uint32_t;

/// A change of the prefix cache of an engine. Block is the hash of a prompt
/// prefix up to and including one cache block.
struct CacheEvent {
  enum class Kind { Stored, Evicted, Cleared };

  Incarnation BackEnd;
  std::uint64_t Sequence = 0;
  Kind Change = Kind::Stored;
  std::uint64_t Block = 0;
};

/// The target that holds the longest known prefix of a prompt. Match is the
/// part of the prompt's blocks that it holds, discounted if events were lost.
struct PrefixMatch {
  TargetIndex Target = 0;
  double Match = 0;
};

/// Which target last stored which prompt prefix, learned from cache events
/// that arrive late and with gaps. It is a hint: a wrong answer costs time,
/// never correctness. The least recently used prefixes are forgotten.
class PrefixIndex {
public:
  explicit PrefixIndex(std::size_t capacity);

  /// Takes an event. Repeated events and those of an older incarnation are
  /// ignored. After a gap, what was known of the target counts for half, as
  /// evictions may have been missed.
  void addEvent(TargetIndex target, const CacheEvent &event);

  /// Forgets what is known of a target.
  void removeTarget(TargetIndex target);

  /// Finds the holder of the longest prefix. Blocks are the prefix hashes of a
  /// prompt, shortest first; Match is 0 if no target holds any of them.
  PrefixMatch longestMatch(std::span<const std::uint64_t> blocks);

  std::size_t size() const { return Entries.size(); }

private:
  struct Source {
    Incarnation BackEnd;
    std::uint64_t LastSequence = 0;
    /// Entries of an earlier generation are forgotten, and those of an earlier
    /// gap count are discounted.
    std::uint32_t Generation = 0;
    std::uint32_t GapCount = 0;
  };
  struct Entry {
    std::uint64_t Block = 0;
    TargetIndex Target = 0;
    std::uint32_t Generation = 0;
    std::uint32_t GapCount = 0;
  };

  void store(TargetIndex target, std::uint64_t block);
  void evict(TargetIndex target, std::uint64_t block);

  std::size_t Capacity;
  std::vector<Source> Sources;
  std::list<Entry> ByUse;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> Entries;
};

} // namespace bergamot::routing

#endif
