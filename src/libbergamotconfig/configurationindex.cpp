#include "libbergamotconfig/configurationindex.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace bergamot::config {

namespace {

template <typename T>
const T *findIn(const std::unordered_map<std::string_view, const T *> &table,
                std::string_view id) {
  const auto it = table.find(id);
  return it == table.end() ? nullptr : it->second;
}

template <typename T>
void addAll(std::unordered_map<std::string_view, const T *> &table,
            const std::vector<T> &list) {
  table.reserve(list.size());
  for (const T &object : list)
    table.emplace(object.Id.Value, &object);
}

/// Returns whether the prefix covers the path at a segment boundary, so that
/// a rule for /orders doesn't apply to /orders-archive.
bool covers(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix))
    return false;
  return path.size() == prefix.size() || prefix.ends_with('/') ||
         path[prefix.size()] == '/';
}

/// Returns whether the back end may resolve the path to another one.
bool isAmbiguousPath(std::string_view path) {
  std::string lower(path);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  lower += '/';
  constexpr std::array<std::string_view, 7> Patterns = {
      "//", "/./", "/../", "\\", "%2e", "%2f", "%5c"};
  return std::any_of(Patterns.begin(), Patterns.end(),
                     [&](std::string_view pattern) {
                       const auto at = lower.find(pattern);
                       // A single slash at the end of the path is no ambiguity.
                       return at != std::string::npos &&
                              !(pattern == "//" && at + 2 == lower.size());
                     });
}

bool isIdempotentByDefault(const Service &service, std::string_view method,
                           std::string_view path) {
  if (method == "GET" || method == "HEAD")
    return true;
  return service.Kind == ServiceKind::Model && method == "POST" &&
         (path == "/v1/chat/completions" || path == "/v1/completions");
}

} // namespace

KeyHash hashApiKey(std::string_view salt, std::string_view key) {
  std::string salted(salt);
  salted += key;
  return {base::toHex(salt), base::sha256Hex(salted)};
}

std::string_view accountOfKey(std::string_view key) {
  const auto dot = key.rfind('.');
  if (dot == std::string_view::npos || dot + 1 == key.size())
    return {};
  return key.substr(0, dot);
}

bool isIdempotent(const Service &service, std::string_view method,
                  std::string_view path) {
  path = path.substr(0, path.find_first_of("?#"));
  if (isAmbiguousPath(path))
    return false;
  const RepeatRule *best = nullptr;
  for (const RepeatRule &rule : service.RepeatRules) {
    if ((rule.Method != method && rule.Method != "*") ||
        !covers(rule.PathPrefix, path))
      continue;
    const auto rank = [](const RepeatRule &r) {
      return std::pair(r.PathPrefix.size(), r.Method != "*");
    };
    if (best == nullptr || rank(rule) > rank(*best))
      best = &rule;
  }
  return best != nullptr ? best->Idempotent
                         : isIdempotentByDefault(service, method, path);
}

ConfigurationIndex::ConfigurationIndex(
    std::shared_ptr<const Configuration> source)
    : Source(std::move(source)) {
  addAll(Accounts, Source->Accounts);
  addAll(FailureDomains, Source->FailureDomains);
  addAll(Services, Source->Services);
  addAll(Entries, Source->Entries);
  addAll(Targets, Source->Targets);
  addAll(ExpertGroups, Source->ExpertGroups);
  for (const Service &service : Source->Services)
    for (const std::string &model : service.Models)
      Models.emplace(model, &service);
  for (const Target &target : Source->Targets)
    TargetVms.emplace(target.Vm.Value, &target);
}

const ClientAccount *ConfigurationIndex::account(std::string_view id) const {
  return findIn(Accounts, id);
}

const FailureDomain *
ConfigurationIndex::failureDomain(std::string_view id) const {
  return findIn(FailureDomains, id);
}

const Service *ConfigurationIndex::service(std::string_view id) const {
  return findIn(Services, id);
}

const Service *
ConfigurationIndex::serviceByModel(std::string_view model) const {
  return findIn(Models, model);
}

const Entry *ConfigurationIndex::entry(std::string_view vm) const {
  return findIn(Entries, vm);
}

const Target *ConfigurationIndex::target(std::string_view id) const {
  return findIn(Targets, id);
}

const Target *ConfigurationIndex::targetByVm(std::string_view vm) const {
  return findIn(TargetVms, vm);
}

const ExpertGroup *ConfigurationIndex::expertGroup(std::string_view id) const {
  return findIn(ExpertGroups, id);
}

const ClientAccount *
ConfigurationIndex::accountByKey(std::string_view key) const {
  const ClientAccount *candidate = account(accountOfKey(key));
  if (candidate == nullptr)
    return nullptr;
  bool found = false;
  for (const KeyHash &hash : candidate->Keys) {
    const KeyHash given = hashApiKey(base::fromHex(hash.Salt), key);
    found |= base::equalsConstantTime(given.Sha256, hash.Sha256);
  }
  return found ? candidate : nullptr;
}

} // namespace bergamot::config
