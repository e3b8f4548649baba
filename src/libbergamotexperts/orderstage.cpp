#include "libbergamotexperts/orderstage.h"

namespace bergamot::experts {

OrderStage::OrderStage(base::FencingToken newestToken) : Newest(newestToken) {}

OrderVerdict OrderStage::addOrder(base::FencingToken token,
                                  const EngineOrder &order) {
  if (token < Newest)
    return OrderVerdict::StaleToken;
  const bool newer = token > Newest;
  Newest = token;
  Entry &entry = Entries[order.Kind];
  if (entry.InForce == order)
    return OrderVerdict::Done;
  if (entry.InForce && order.Version <= entry.InForce->Version)
    return order.Version == entry.InForce->Version ? OrderVerdict::Conflict
                                                   : OrderVerdict::StaleVersion;
  if (entry.Staging == order)
    return entry.Confirmed ? OrderVerdict::Done : OrderVerdict::Stage;
  // A newer lease may replace what an older one staged.
  if (entry.Staging && !newer && order.Version <= entry.Staging->Version)
    return order.Version == entry.Staging->Version ? OrderVerdict::Conflict
                                                   : OrderVerdict::StaleVersion;
  entry.Staging = order;
  entry.Confirmed = false;
  return OrderVerdict::Stage;
}

bool OrderStage::setStaged(const EngineOrder &order) {
  Entry &entry = Entries[order.Kind];
  if (entry.Staging != order)
    return false;
  entry.Confirmed = true;
  return true;
}

OrderVerdict OrderStage::setSwitch(base::FencingToken token,
                                   const EngineOrder &order) {
  if (token < Newest)
    return OrderVerdict::StaleToken;
  Newest = token;
  const Entry &entry = Entries[order.Kind];
  if (entry.InForce == order)
    return OrderVerdict::Done;
  return entry.Staging == order && entry.Confirmed ? OrderVerdict::Switch
                                                   : OrderVerdict::NotStaged;
}

void OrderStage::setInForce(const EngineOrder &order) {
  Entry &entry = Entries[order.Kind];
  entry.InForce = order;
  if (entry.Staging == order) {
    entry.Staging.reset();
    entry.Confirmed = false;
  }
}

std::optional<EngineOrder> OrderStage::inForce(OrderKind kind) const {
  const auto it = Entries.find(kind);
  return it == Entries.end() ? std::nullopt : it->second.InForce;
}

} // namespace bergamot::experts
