#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_ACTIVATIONMESSAGES_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_ACTIVATIONMESSAGES_H

#include "libbergamotbase/ids.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bergamot::experts {

using base::FencingToken;
using base::Incarnation;

/// Names a map of a group: its version and the hash of its content. Version 0
/// with an empty hash means none.
struct MapId {
  std::uint64_t Version = 0;
  std::string Hash;

  auto operator<=>(const MapId &) const = default;
};

/// A round of agreement on the members of a group. Token is that of the step
/// leader's lease; Round counts its attempts.
struct Epoch {
  FencingToken Token;
  std::uint64_t Round = 0;

  auto operator<=>(const Epoch &) const = default;
};

/// From the coordinator to a rank: fetch this map and its weights.
struct StageOrder {
  FencingToken Token;
  MapId Map;
};

/// From a rank to the coordinator: the map is loaded, or refused because of a
/// newer token or a promised switch.
struct StageReply {
  std::uint32_t Rank = 0;
  Incarnation RankIncarnation;
  FencingToken Token;
  MapId Map;
  bool Staged = false;
};

/// From the coordinator to the step leader: switch to this map.
struct SwitchOrder {
  FencingToken Token;
  MapId Map;
};

/// From the step leader to the coordinator: the map in force from Step on.
/// It is sent when all ranks have run a step with it and in answer to a refused
/// order. In the audit stream it counts only if no newer lease of the leader's
/// role comes before it in the log: an old leader may learn late that its last
/// step was done, after all ranks were replaced and the group began anew.
struct SwitchReply {
  /// Token of the step leader's lease.
  FencingToken LeaderToken;
  /// Highest token of a coordinator that the leader has seen.
  FencingToken Token;
  MapId Map;
  std::uint64_t Step = 0;
};

/// From a step leader to one life of a rank: join this epoch and say what ran.
/// A rank that was replaced refuses it, so that late messages of the epoch in
/// which its predecessor ran can't make it run old steps.
struct JoinRequest {
  Epoch GroupEpoch;
  Incarnation RankIncarnation;
};

/// From a rank to the step leader: its newest step and the map of that step.
struct JoinReply {
  Epoch GroupEpoch;
  std::uint32_t Rank = 0;
  Incarnation RankIncarnation;
  std::uint64_t LastStep = 0;
  MapId LastMap;
};

/// From the step leader to each rank: run a step with the map named. Prepare
/// names a map that the group may switch to at a later step.
struct StepStart {
  Epoch GroupEpoch;
  std::uint64_t Step = 0;
  MapId Map;
  MapId MapToPrepare;
};

/// From a rank to the step leader: the step is done. Ready names the prepared
/// map if it is loaded; the rank then keeps it loaded until the leader starts
/// a step that doesn't prepare it.
struct StepDone {
  Epoch GroupEpoch;
  std::uint32_t Rank = 0;
  Incarnation RankIncarnation;
  std::uint64_t Step = 0;
  MapId Ready;
};

using ActivationMessage =
    std::variant<StageOrder, StageReply, SwitchOrder, SwitchReply, JoinRequest,
                 JoinReply, StepStart, StepDone>;

/// The receivers of messages besides the ranks.
constexpr std::uint32_t ToCoordinator = 0xfffffffe;
constexpr std::uint32_t ToLeader = 0xfffffffd;

/// A message with its receiver: a rank, ToCoordinator or ToLeader.
struct OutgoingMessage {
  std::uint32_t Receiver = 0;
  ActivationMessage Message;
};

} // namespace bergamot::experts

#endif
