#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_ORDERSTAGE_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_ORDERSTAGE_H

#include "libbergamotbase/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::experts {

/// What an order changes at an engine.
enum class EngineOrderKind { LoadModel, LoadAdapter, LoadVersion, ChangeRole };

/// An order to an engine. Orders of one kind replace each other by Version;
/// Hash is that of the content or of the canonical role description.
struct EngineOrder {
  EngineOrderKind Kind = EngineOrderKind::LoadModel;
  std::uint64_t Version = 0;
  std::string Hash;

  auto operator<=>(const EngineOrder &) const = default;
};

/// What happens to an order or a switch.
enum class OrderVerdict {
  /// Sent to the engine to be staged.
  Stage,
  /// Staged or in force already.
  Done,
  /// The engine is told to switch.
  Switch,
  StaleToken,
  StaleVersion,
  /// The same version with other content.
  Conflict,
  NotStaged,
};

/// Fence of one target for orders to load models, adapters and versions and to
/// change its role. As with expert maps, an order is first staged, confirmed
/// by its hash, and put in force by a separate, fenced switch. In doubt the
/// engine keeps what it has.
class EngineOrderStager {
public:
  /// `newestToken` is the highest token in the lease stream of the log,
  /// relearned before any order is taken.
  explicit EngineOrderStager(base::FencingToken newestToken);

  /// Takes an order to stage.
  OrderVerdict stageOrder(base::FencingToken token, const EngineOrder &order);
  /// Takes the engine's confirmation with the hash that it computed. Returns
  /// false for anything but the order that is being staged.
  bool confirmStaged(const EngineOrder &order);
  /// Takes the decision to put a staged order in force.
  OrderVerdict requestSwitch(base::FencingToken token,
                             const EngineOrder &order);
  /// Records that the engine has switched, or started with this in force.
  void setActive(const EngineOrder &order);

  /// Returns what is in force for a kind; nothing if that isn't known.
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
