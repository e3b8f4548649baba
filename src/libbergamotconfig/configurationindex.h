#ifndef BERGAMOT_LIBBERGAMOTCONFIG_CONFIGURATIONINDEX_H
#define BERGAMOT_LIBBERGAMOTCONFIG_CONFIGURATIONINDEX_H

#include "libbergamotconfig/configuration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace bergamot::config {

/// Returns the hash of an API key with the salt, which is given as bytes.
KeyHash hashApiKey(std::string_view salt, std::string_view key);

/// Returns the account id that an API key names. Keys have the form
/// `<account id>.<secret>`; the secret has no dot. Returns an empty text for
/// any other form.
std::string_view accountOfKey(std::string_view key);

/// Returns whether a call may be executed more than once. The repeat rule with
/// the longest matching path prefix decides, the exact method before "*".
/// Without a rule, GET, HEAD and the completions of a model service are
/// idempotent and everything else is not. A path with dot segments or encoded
/// separators is never idempotent, since a back end could resolve it to a path
/// under another rule. The path is the one the back end sees.
bool isIdempotent(const Service &service, std::string_view method,
                  std::string_view path);

/// Finds the objects of one configuration by id. Immutable, so that threads
/// may share it; a daemon builds a new one for each version.
class ConfigurationIndex {
public:
  /// Indexes the configuration, which must not be null.
  explicit ConfigurationIndex(std::shared_ptr<const Configuration> source);

  /// Returns the indexed configuration.
  const Configuration &configuration() const { return *Source; }

  /// Each returns the object, or null if there is none. The pointers live as
  /// long as the index.
  const ClientAccount *account(std::string_view id) const;
  const FailureDomain *failureDomain(std::string_view id) const;
  const Service *service(std::string_view id) const;
  const Service *serviceByModel(std::string_view model) const;
  const Entry *entry(std::string_view vm) const;
  const Target *target(std::string_view id) const;
  const Target *targetByVm(std::string_view vm) const;
  const ExpertGroup *expertGroup(std::string_view id) const;

  /// Returns the account that holds the API key, or null. Only the account
  /// that the key names is a candidate, and each of its hashes is compared in
  /// constant time. With a scan over all accounts, an unknown key would cost
  /// 12,000 hashes.
  const ClientAccount *accountByKey(std::string_view key) const;

private:
  template <typename T>
  using Table = std::unordered_map<std::string_view, const T *>;

  std::shared_ptr<const Configuration> Source;
  Table<ClientAccount> Accounts;
  Table<FailureDomain> FailureDomains;
  Table<Service> Services;
  Table<Service> Models;
  Table<Entry> Entries;
  Table<Target> Targets;
  Table<Target> TargetVms;
  Table<ExpertGroup> ExpertGroups;
};

} // namespace bergamot::config

#endif
