#ifndef BERGAMOT_ACTIVATION_EXPLORERWORLD_H
#define BERGAMOT_ACTIVATION_EXPLORERWORLD_H

#include "libbergamotexperts/activationcoordinator.h"
#include "libbergamotexperts/activationrank.h"
#include "libbergamotexperts/stepleader.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamot::experts {

/// Map of the group before any change.
inline const MapId FirstMap{1, "a"};

/// A rank's engine with one active and one staged map.
struct Engine {
  MapId Active = FirstMap;
  MapId Staged;
  FencingToken Token;
};

struct Member {
  ActivationRank Rank;
  Engine RankEngine;
  /// Map that this life has reported as ready to its step leader.
  MapId ReportedReady;
  /// Maps that this life ran, by step from 1; version 0 where it ran none.
  std::vector<MapId> RanMaps;
};

/// A message that was sent, with its hash; it stays deliverable for ever.
using SentMessage = std::pair<const std::uint64_t, OutgoingMessage>;

/// One event of the path to a world.
struct TraceEvent {
  std::shared_ptr<const TraceEvent> Previous;
  std::string Event;
};

struct SystemState {
  std::shared_ptr<const TraceEvent> Trace;
  std::vector<Member> Members;
  std::vector<StepLeader> Leaders;
  std::vector<ActivationCoordinator> Coordinators;
  /// All messages of the exploration by hash, shared by its worlds.
  std::map<std::uint64_t, OutgoingMessage> *Messages = nullptr;
  std::vector<const SentMessage *> Sent;
  std::uint32_t Replacements = 0;
  std::vector<bool> UndetectedReplacement;
  /// Newest map that a step leader called in force, and its first step.
  MapId Announced;
  std::uint64_t AnnouncedStep = 0;
  std::string Violation;
};

/// Returns a hash of a message with its receiver.
std::uint64_t messageHash(const OutgoingMessage &message);
/// Returns a message in words, for the path to a fault.
std::string describe(const OutgoingMessage &message);
/// Returns a hash of the complete state of a world without its path.
std::uint64_t fingerprint(const SystemState &state);
/// Returns the events that led to a world, one a line.
std::string describeTrace(const SystemState &state);

} // namespace bergamot::experts

#endif
