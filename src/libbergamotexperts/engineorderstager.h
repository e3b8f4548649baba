#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_ENGINEORDERSTAGER_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_ENGINEORDERSTAGER_H

#include "libbergamotbase/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::experts {

/// What an order changes on an engine.
enum class EngineOrderKind {
  LoadModel,
  LoadAdapter,
  LoadModelVersion,
  ChangeRole
};

/// An order to a target's engine to load content or to change its role; orders
/// that concern expert maps are StageOrder and RankOrder. An order replaces
/// those of its kind with a lower version. Hash is that of the content or of
/// the canonical role description.
struct EngineOrder {
  EngineOrderKind Kind = EngineOrderKind::LoadModel;
  std::uint64_t Version = 0;
  std::string Hash;

  auto operator<=>(const EngineOrder &) const = default;
};

/// Result of an order or a switch request.
enum class OrderVerdict {
  /// The caller must send the order to the engine to be staged.
  MustStage,
  /// Already staged or active.
  Done,
  /// The caller must tell the engine to switch.
  MustSwitch,
  StaleToken,
  StaleVersion,
  /// Same version with different content.
  Conflict,
  NotStaged,
};

/// Fences the orders to one target that load models, adapters and model
/// versions or change its role. As with expert maps, the content of an order is
/// first staged, then confirmed by its hash, and then activated by a separate
/// fenced switch. When in doubt the engine stays as it is.
class EngineOrderStager {
public:
  /// `newestToken` is the highest token in the log of the leases under which
  /// orders are issued, read before any order is accepted.
  explicit EngineOrderStager(base::FencingToken newestToken);

  /// Handles an order to stage content.
  OrderVerdict stageOrder(base::FencingToken token, const EngineOrder &order);
  /// Handles the engine's confirmation with the hash that it computed. Returns
  /// false unless it matches the order being staged.
  bool confirmStaged(const EngineOrder &order);
  /// Handles the decision to activate a staged order.
  OrderVerdict requestSwitch(base::FencingToken token,
                             const EngineOrder &order);
  /// Records that the engine has switched to this order's content or has
  /// started with it.
  void setActive(const EngineOrder &order);

  /// Returns the active order of a kind; nothing if it isn't known.
  std::optional<EngineOrder> activeOrder(EngineOrderKind kind) const;

private:
  struct Entry {
    std::optional<EngineOrder> Active;
    std::optional<EngineOrder> Staging;
    bool Confirmed = false;
  };

  base::FencingToken NewestToken;
  std::map<EngineOrderKind, Entry> Entries;
};

} // namespace bergamot::experts

#endif
