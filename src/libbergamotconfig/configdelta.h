#ifndef BERGAMOT_LIBBERGAMOTCONFIG_CONFIGDELTA_H
#define BERGAMOT_LIBBERGAMOTCONFIG_CONFIGDELTA_H

#include "libbergamotconfig/configuration.h"
#include "libbergamotconfig/problem.h"

#include <optional>
#include <string>
#include <vector>

namespace bergamot::config {

/// The changes to the objects of one kind. Added and Changed hold the whole
/// new object.
template <typename T> struct ObjectDelta {
  std::vector<T> Added;
  std::vector<T> Changed;
  std::vector<decltype(T::Id)> Removed;

  bool empty() const {
    return Added.empty() && Changed.empty() && Removed.empty();
  }
  bool operator==(const ObjectDelta &) const = default;
};

/// What a change does to a configuration. Adding an id that exists, and
/// changing or removing one that doesn't, is a problem.
struct ConfigDelta {
  ObjectDelta<SignerKey> Signers;
  ObjectDelta<ClientAccount> Accounts;
  ObjectDelta<FailureDomain> FailureDomains;
  ObjectDelta<Service> Services;
  ObjectDelta<Entry> Entries;
  ObjectDelta<Target> Targets;
  ObjectDelta<ExpertGroup> ExpertGroups;
  std::optional<Settings> Deployment;

  bool empty() const;
  bool operator==(const ConfigDelta &) const = default;
};

/// Returns the delta that turns one configuration into another. Objects are
/// matched by id; their order in the lists doesn't matter.
ConfigDelta difference(const Configuration &from, const Configuration &to);

/// Applies the delta and returns the problems found, by JSON pointer into the
/// delta. With problems, the configuration is left partly changed. The lists
/// of the result are sorted by id.
std::vector<Problem> applyDelta(Configuration &configuration,
                                const ConfigDelta &delta);

/// Returns one line for each object that the delta touches, such as
/// `~ account rope-shop`, with `+`, `~` and `-` for added, changed, removed.
std::vector<std::string> summaryLines(const ConfigDelta &delta);

} // namespace bergamot::config

#endif
