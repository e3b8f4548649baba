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

/// Identifies a map of a group by its version and content hash. Version 0 with
/// an empty hash means no map.
struct MapId {
  std::uint64_t Version = 0;
  std::string Hash;

  auto operator<=>(const MapId &) const = default;
};

/// Identifies a round in which the ranks of a group join a step leader. Token
/// is the fencing token of the leader's lease; Round counts the rounds under
/// that lease. Unlike RankState::Epoch it isn't reported by the engines.
struct JoinEpoch {
  FencingToken Token;
  std::uint64_t Round = 0;

  auto operator<=>(const JoinEpoch &) const = default;
};

/// From the coordinator to a rank: fetch this map and its weights. Token is
/// that of the coordinator's lease, as in the other coordinator messages.
struct StageOrder {
  FencingToken Token;
  MapId Map;
};

/// From a rank to the coordinator: the map is loaded, or the order was refused
/// because of a newer token or a pending switch.
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

/// From the step leader to the coordinator: the map that is active from Step
/// on. It is sent once all ranks have run a step with the map, and in reply to
/// an order that the leader refuses. A SwitchReply recorded in the audit stream
/// is valid only if the log has no newer lease on the leader role before it: a
/// former leader may learn late that its last step was done, after all ranks
/// were replaced and the group restarted.
struct SwitchReply {
  /// Token of the step leader's lease.
  FencingToken LeaderToken;
  /// Token of the order that activated the map; in reply to a refused order,
  /// the highest coordinator token that the leader has seen.
  FencingToken OrderToken;
  MapId Map;
  std::uint64_t Step = 0;
};

/// From the step leader to one incarnation of a rank: join this epoch and
/// report the newest step. A replacement rank refuses requests addressed to its
/// predecessor, so that late messages of the predecessor's epoch can't make it
/// run old steps.
struct JoinRequest {
  JoinEpoch GroupEpoch;
  Incarnation RankIncarnation;
};

/// From a rank to the step leader: its newest step and the map of that step.
struct JoinReply {
  JoinEpoch GroupEpoch;
  std::uint32_t Rank = 0;
  Incarnation RankIncarnation;
  std::uint64_t LastStep = 0;
  MapId LastMap;
};

/// From the step leader to each rank: run a step with the given map.
/// MapToPrepare is a map that the group may switch to at a later step.
struct StepStart {
  JoinEpoch GroupEpoch;
  std::uint64_t Step = 0;
  MapId Map;
  MapId MapToPrepare;
};

/// From a rank to the step leader: the step is done. ReadyMap is the map to
/// prepare if it is loaded; the rank then keeps it loaded until the leader
/// starts a step that doesn't prepare it.
struct StepDone {
  JoinEpoch GroupEpoch;
  std::uint32_t Rank = 0;
  Incarnation RankIncarnation;
  std::uint64_t Step = 0;
  MapId ReadyMap;
};

using ActivationMessage =
    std::variant<StageOrder, StageReply, SwitchOrder, SwitchReply, JoinRequest,
                 JoinReply, StepStart, StepDone>;

/// Receivers other than ranks.
constexpr std::uint32_t ToCoordinator = 0xfffffffe;
constexpr std::uint32_t ToLeader = 0xfffffffd;

/// A message with its receiver: a rank, ToCoordinator or ToLeader.
struct OutgoingMessage {
  std::uint32_t Receiver = 0;
  ActivationMessage Message;
};

} // namespace bergamot::experts

#endif
