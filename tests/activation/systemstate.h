#ifndef BERGAMOT_ACTIVATION_SYSTEMSTATE_H
#define BERGAMOT_ACTIVATION_SYSTEMSTATE_H

#include "libbergamotexperts/activationcoordinator.h"
#include "libbergamotexperts/activationparticipant.h"
#include "libbergamotexperts/stepleader.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamot::experts {

/// Initial map of the group.
inline const MapId FirstMap{1, "a"};

/// A rank's engine with one active and one staged map.
struct Engine {
  MapId Active = FirstMap;
  MapId Staged;
  FencingToken Token;
};

struct Member {
  ActivationParticipant Participant;
  Engine RankEngine;
  /// Map that this incarnation has reported as ready to its step leader.
  MapId ReportedReady;
  /// Maps that this incarnation has run, by step starting at 1; version 0 for
  /// steps that it hasn't run.
  std::vector<MapId> RanMaps;
};

/// A sent message with its hash; it stays deliverable forever.
using SentMessage = std::pair<const std::uint64_t, OutgoingMessage>;

/// One event on the path to a state.
struct TraceEvent {
  std::shared_ptr<const TraceEvent> Previous;
  std::string Event;
};

struct SystemState {
  std::shared_ptr<const TraceEvent> Trace;
  std::vector<Member> Members;
  std::vector<StepLeader> Leaders;
  std::vector<ActivationCoordinator> Coordinators;
  /// All messages of the exploration by hash, shared by its states.
  std::map<std::uint64_t, OutgoingMessage> *Messages = nullptr;
  std::vector<const SentMessage *> Sent;
  std::uint32_t Replacements = 0;
  std::vector<bool> UndetectedReplacement;
  /// Newest map that a step leader announced as active, and its first step.
  MapId Announced;
  std::uint64_t AnnouncedStep = 0;
  std::string Violation;
};

/// Returns a hash of a message with its receiver.
std::uint64_t messageHash(const OutgoingMessage &message);
/// Returns a message as text, for the trace of a violation.
std::string describe(const OutgoingMessage &message);
/// Returns a hash of a complete state without its trace.
std::uint64_t fingerprint(const SystemState &state);
/// Returns the events that led to a state, one per line.
std::string describeTrace(const SystemState &state);

} // namespace bergamot::experts

#endif
