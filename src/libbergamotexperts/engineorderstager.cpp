#include "libbergamotexperts/engineorderstager.h"

namespace bergamot::experts {

EngineOrderStager::EngineOrderStager(base::FencingToken newestToken)
    : NewestToken(newestToken) {}

OrderVerdict EngineOrderStager::stageOrder(base::FencingToken token,
                                           const EngineOrder &order) {
  if (token < NewestToken)
    return OrderVerdict::StaleToken;
  const bool hasNewerToken = token > NewestToken;
  NewestToken = token;
  Entry &entry = Entries[order.Kind];
  if (entry.Active == order)
    return OrderVerdict::Done;
  if (entry.Active && order.Version <= entry.Active->Version)
    return order.Version == entry.Active->Version ? OrderVerdict::Conflict
                                                  : OrderVerdict::StaleVersion;
  if (entry.Staging == order)
    return entry.Confirmed ? OrderVerdict::Done : OrderVerdict::MustStage;
  // A newer lease may replace what an older one staged.
  if (entry.Staging && !hasNewerToken &&
      order.Version <= entry.Staging->Version)
    return order.Version == entry.Staging->Version ? OrderVerdict::Conflict
                                                   : OrderVerdict::StaleVersion;
  entry.Staging = order;
  entry.Confirmed = false;
  return OrderVerdict::MustStage;
}

bool EngineOrderStager::confirmStaged(const EngineOrder &order) {
  Entry &entry = Entries[order.Kind];
  if (entry.Staging != order)
    return false;
  entry.Confirmed = true;
  return true;
}

OrderVerdict EngineOrderStager::requestSwitch(base::FencingToken token,
                                              const EngineOrder &order) {
  if (token < NewestToken)
    return OrderVerdict::StaleToken;
  NewestToken = token;
  const Entry &entry = Entries[order.Kind];
  if (entry.Active == order)
    return OrderVerdict::Done;
  return entry.Staging == order && entry.Confirmed ? OrderVerdict::MustSwitch
                                                   : OrderVerdict::NotStaged;
}

void EngineOrderStager::setActive(const EngineOrder &order) {
  Entry &entry = Entries[order.Kind];
  entry.Active = order;
  if (entry.Staging == order) {
    entry.Staging.reset();
    entry.Confirmed = false;
  }
}

std::optional<EngineOrder>
EngineOrderStager::activeOrder(EngineOrderKind kind) const {
  const auto it = Entries.find(kind);
  return it == Entries.end() ? std::nullopt : it->second.Active;
}

} // namespace bergamot::experts
