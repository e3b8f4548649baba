#include "bergamotctl/difftext.h"

#include "libbergamotconfig/configdelta.h"
#include "libbergamotconfig/configurationfields.h"

#include <algorithm>
#include <set>

namespace bergamot::bergamotctl {

using config::Json;

namespace {

/// Adds a line for each member that differs between two objects.
void addMembers(std::string &text, const Json &from, const Json &to) {
  const Json before = from.flatten();
  const Json after = to.flatten();
  std::set<std::string> names;
  for (const auto &[name, value] : before.items())
    names.insert(name);
  for (const auto &[name, value] : after.items())
    names.insert(name);
  for (const std::string &name : names) {
    const Json a = before.value(name, Json());
    const Json b = after.value(name, Json());
    if (a != b)
      text +=
          "    " + name.substr(1) + ": " + a.dump() + " -> " + b.dump() + "\n";
  }
}

template <typename T>
void addKind(std::string &text, const char *kind,
             const config::ObjectDelta<T> &delta, const std::vector<T> &from) {
  const std::string name = std::string(" ") + kind + " ";
  for (const T &object : delta.Added)
    text += "+" + name + object.Id.Value + "\n";
  for (const auto &id : delta.Removed)
    text += "-" + name + id.Value + "\n";
  for (const T &object : delta.Changed) {
    text += "~" + name + object.Id.Value + "\n";
    const auto it = std::find_if(from.begin(), from.end(), [&](const T &old) {
      return old.Id == object.Id;
    });
    if (it != from.end())
      addMembers(text, config::toJson(*it), config::toJson(object));
  }
}

} // namespace

std::string diffText(const config::Configuration &from,
                     const config::Configuration &to) {
  const config::ConfigDelta delta = config::difference(from, to);
  std::string text;
  addKind(text, "signer", delta.Signers, from.Signers);
  addKind(text, "account", delta.Accounts, from.Accounts);
  addKind(text, "failure domain", delta.FailureDomains, from.FailureDomains);
  addKind(text, "service", delta.Services, from.Services);
  addKind(text, "entry", delta.Entries, from.Entries);
  addKind(text, "target", delta.Targets, from.Targets);
  addKind(text, "expert group", delta.ExpertGroups, from.ExpertGroups);
  if (delta.Deployment) {
    text += "~ settings\n";
    addMembers(text, config::toJson(from.Deployment),
               config::toJson(to.Deployment));
  }
  return text;
}

} // namespace bergamot::bergamotctl
