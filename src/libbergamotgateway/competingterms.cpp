#include "libbergamotgateway/competingterms.h"

#include <map>
#include <utility>

namespace bergamot::gateway {

std::set<std::string> servicesWithCompetingTerms(const RouteTable &table) {
  using Terms = std::pair<std::uint32_t, std::chrono::milliseconds>;
  std::map<std::string, std::set<Terms>> termsByService;
  for (const auto &route : table.routes())
    if (route.Streaming)
      for (const auto &it : route.Services)
        termsByService[it.Service].emplace(route.Priority,
                                           route.LatencyObjective);
  std::set<std::string> services;
  for (const auto &[service, terms] : termsByService)
    if (terms.size() > 1)
      services.insert(service);
  return services;
}

std::set<std::string> activeServices(Activation activation,
                                     const RouteTable &table) {
  if (activation == Activation::Auto)
    return servicesWithCompetingTerms(table);
  std::set<std::string> services;
  if (activation == Activation::On)
    for (const auto &[name, service] : table.services())
      services.insert(name);
  return services;
}

} // namespace bergamot::gateway
