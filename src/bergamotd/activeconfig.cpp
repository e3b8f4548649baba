#include "bergamotd/activeconfig.h"

#include <utility>

namespace bergamot::bergamotd {

bool ActiveConfig::isOpenForWork(const config::Target &target) const {
  const auto *place = Index.failureDomain(target.Domain.Value);
  return target.State == config::TargetState::Active && place != nullptr &&
         place->State == config::DomainState::Active;
}

void ConfigStore::addListener(Listener listener) {
  const std::lock_guard lock(Mutex);
  Listeners.push_back(std::move(listener));
}

void ConfigStore::setActive(const ActiveConfigPtr &active) {
  std::vector<Listener> listeners;
  {
    const std::lock_guard lock(Mutex);
    if (Active && Active->Version >= active->Version)
      return;
    Active = active;
    listeners = Listeners;
  }
  for (const auto &listener : listeners)
    listener(active);
}

ActiveConfigPtr ConfigStore::active() const {
  const std::lock_guard lock(Mutex);
  return Active;
}

base::ConfigVersion ConfigStore::version() const {
  const std::lock_guard lock(Mutex);
  return Active ? Active->Version : base::ConfigVersion{};
}

} // namespace bergamot::bergamotd
