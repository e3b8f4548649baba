#include "libbergamotconfig/configdelta.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace bergamot::config {

namespace {

/// Calls the function with the kind's name in JSON, its name for people, its
/// delta and its list or lists of objects.
template <typename D, typename F, typename... C>
void forEachKind(D &delta, const F &function, C &...lists) {
  function("signers", "signer", delta.Signers, lists.Signers...);
  function("accounts", "account", delta.Accounts, lists.Accounts...);
  function("failure_domains", "failure domain", delta.FailureDomains,
           lists.FailureDomains...);
  function("services", "service", delta.Services, lists.Services...);
  function("entries", "entry", delta.Entries, lists.Entries...);
  function("targets", "target", delta.Targets, lists.Targets...);
  function("expert_groups", "expert group", delta.ExpertGroups,
           lists.ExpertGroups...);
}

template <typename T>
std::unordered_map<std::string_view, const T *>
byId(const std::vector<T> &list) {
  std::unordered_map<std::string_view, const T *> table;
  table.reserve(list.size());
  for (const T &object : list)
    table.emplace(object.Id.Value, &object);
  return table;
}

template <typename T> void sortList(std::vector<T> &list) {
  std::sort(list.begin(), list.end(),
            [](const T &a, const T &b) { return a.Id < b.Id; });
}

template <typename T>
void differenceOfKind(ObjectDelta<T> &delta, const std::vector<T> &from,
                      const std::vector<T> &to) {
  const auto before = byId(from);
  const auto after = byId(to);
  for (const auto &[id, object] : after) {
    const auto it = before.find(id);
    if (it == before.end())
      delta.Added.push_back(*object);
    else if (*it->second != *object)
      delta.Changed.push_back(*object);
  }
  for (const T &object : from)
    if (!after.contains(object.Id.Value))
      delta.Removed.push_back(object.Id);
  sortList(delta.Added);
  sortList(delta.Changed);
  std::sort(delta.Removed.begin(), delta.Removed.end());
}

/// Applies the delta of one kind. Each id may occur once in the delta.
template <typename T> class KindChange {
public:
  KindChange(std::string path, const ObjectDelta<T> &delta,
             std::vector<T> &objects, std::vector<Problem> &found)
      : Path(std::move(path)), Delta(delta), Objects(objects), Problems(found) {
    for (std::size_t i = 0; i < Objects.size(); ++i)
      Positions.emplace(Objects[i].Id.Value, i);
  }

  void apply() {
    std::unordered_set<std::string> removed;
    for (std::size_t i = 0; i < Delta.Changed.size(); ++i)
      if (touch("changed", i, Delta.Changed[i].Id.Value, true))
        Objects[Positions[Delta.Changed[i].Id.Value]] = Delta.Changed[i];
    for (std::size_t i = 0; i < Delta.Removed.size(); ++i)
      if (touch("removed", i, Delta.Removed[i].Value, true))
        removed.insert(Delta.Removed[i].Value);
    std::erase_if(Objects, [&](const T &object) {
      return removed.contains(object.Id.Value);
    });
    for (std::size_t i = 0; i < Delta.Added.size(); ++i)
      if (touch("added", i, Delta.Added[i].Id.Value, false))
        Objects.push_back(Delta.Added[i]);
    sortList(Objects);
  }

private:
  bool touch(const char *list, std::size_t index, const std::string &id,
             bool mustExist) {
    const std::string path = Path + "/" + list + "/" + std::to_string(index);
    if (!Touched.insert(id).second)
      Problems.push_back({path, "'" + id + "' occurs twice in the change"});
    else if (Positions.contains(id) != mustExist)
      Problems.push_back({path, mustExist ? "'" + id + "' doesn't exist"
                                          : "'" + id + "' exists already"});
    else
      return true;
    return false;
  }

  std::string Path;
  const ObjectDelta<T> &Delta;
  std::vector<T> &Objects;
  std::vector<Problem> &Problems;
  std::unordered_map<std::string, std::size_t> Positions;
  std::unordered_set<std::string> Touched;
};

template <typename T>
void addSummary(std::vector<std::string> &lines, const char *kind,
                const ObjectDelta<T> &delta) {
  const std::string name = std::string(" ") + kind + " ";
  for (const T &object : delta.Added)
    lines.push_back("+" + name + object.Id.Value);
  for (const T &object : delta.Changed)
    lines.push_back("~" + name + object.Id.Value);
  for (const auto &id : delta.Removed)
    lines.push_back("-" + name + id.Value);
}

} // namespace

bool ConfigDelta::empty() const { return *this == ConfigDelta(); }

ConfigDelta difference(const Configuration &from, const Configuration &to) {
  ConfigDelta delta;
  forEachKind(
      delta,
      [](const char *, const char *, auto &part, const auto &before,
         const auto &after) { differenceOfKind(part, before, after); },
      from, to);
  if (from.Deployment != to.Deployment)
    delta.Deployment = to.Deployment;
  return delta;
}

std::vector<Problem> applyDelta(Configuration &configuration,
                                const ConfigDelta &delta) {
  std::vector<Problem> problems;
  forEachKind(
      delta,
      [&]<typename T>(const char *name, const char *,
                      const ObjectDelta<T> &part, std::vector<T> &objects) {
        if (!part.empty())
          KindChange<T>(std::string("/") + name, part, objects, problems)
              .apply();
      },
      configuration);
  if (delta.Deployment)
    configuration.Deployment = *delta.Deployment;
  return problems;
}

std::vector<std::string> summaryLines(const ConfigDelta &delta) {
  std::vector<std::string> lines;
  forEachKind(delta, [&](const char *, const char *kind, const auto &part) {
    addSummary(lines, kind, part);
  });
  if (delta.Deployment)
    lines.emplace_back("~ settings");
  return lines;
}

} // namespace bergamot::config
