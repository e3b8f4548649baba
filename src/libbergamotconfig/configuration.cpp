#include "libbergamotconfig/configuration.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"
#include "libbergamotconfig/configurationfields.h"

#include <algorithm>

namespace bergamot::config {

namespace {

template <typename T> void sortList(std::vector<T> &list) {
  std::stable_sort(list.begin(), list.end(),
                   [](const T &a, const T &b) { return a.Id < b.Id; });
}

Json sortedJson(const Configuration &configuration) {
  Configuration sorted = configuration;
  sortById(sorted);
  return toJson(sorted);
}

} // namespace

void sortById(Configuration &configuration) {
  sortList(configuration.Signers);
  sortList(configuration.Accounts);
  sortList(configuration.FailureDomains);
  sortList(configuration.Services);
  sortList(configuration.Entries);
  sortList(configuration.Targets);
  sortList(configuration.ExpertGroups);
}

Configuration parseConfiguration(std::string_view text) {
  const Json json = parseJson(text);
  Configuration configuration;
  JsonReader reader;
  reader.read(json, configuration, "");
  if (!reader.Problems.empty())
    throw base::Error(base::Step::Parse, "", problemText(reader.Problems));
  return configuration;
}

std::string canonicalText(const Configuration &configuration) {
  return detail::TextWriter::valueText(configuration);
}

std::string readableText(const Configuration &configuration) {
  return dumpJson(sortedJson(configuration), 2) + "\n";
}

std::string configurationHash(const Configuration &configuration) {
  return base::sha256Hex(canonicalText(configuration));
}

} // namespace bergamot::config
