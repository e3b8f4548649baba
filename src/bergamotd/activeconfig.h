#ifndef BERGAMOT_BERGAMOTD_ACTIVECONFIG_H
#define BERGAMOT_BERGAMOTD_ACTIVECONFIG_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"
#include "libbergamotconfig/configurationindex.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace bergamot::bergamotd {

/// The configuration in force at this daemon. It never changes once made; a
/// change makes a new one.
struct ActiveConfig {
  config::ConfigurationIndex Index;
  base::ConfigVersion Version;
  std::string Hash;
  base::WallTime InForceSince;

  const config::Configuration &config() const { return Index.configuration(); }

  /// Returns whether new work may go to the target by configuration: it is
  /// active and its failure domain isn't removed.
  bool isOpenForWork(const config::Target &target) const;
};

using ActiveConfigPtr = std::shared_ptr<const ActiveConfig>;

/// Holds the configuration in force and tells listeners of changes. Versions
/// only grow. Thread-safe; listeners are called without the lock, on the
/// thread that sets the configuration.
class ConfigStore {
public:
  using Listener = std::function<void(const ActiveConfigPtr &)>;

  /// Adds a listener. Call it before the first configuration is set.
  void addListener(Listener listener);

  /// Puts a configuration in force unless a newer or equal one is.
  void setActive(const ActiveConfigPtr &active);

  /// Returns the configuration in force, or null if none is known.
  ActiveConfigPtr active() const;

  /// Returns the version in force, 0 if none is known.
  base::ConfigVersion version() const;

private:
  mutable std::mutex Mutex;
  ActiveConfigPtr Active;
  std::vector<Listener> Listeners;
};

} // namespace bergamot::bergamotd

#endif
