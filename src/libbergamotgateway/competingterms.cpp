#include "libbergamotgateway/competingterms.h"

#include <algorithm>
#include <map>
#include <utility>

namespace bergamot::gateway {

namespace {

/// Number of route priorities that are told apart. Higher ones count as the
/// last.
constexpr std::uint32_t RoutePriorities = 256;

} // namespace

std::uint32_t requestPriority(const Route &route,
                              const ClientAccount *account) {
  return account ? account->Priority.value_or(route.Priority) : route.Priority;
}

std::uint32_t competingPriority(const Route &route,
                                const ClientAccount *account) {
  constexpr std::uint32_t Last = RoutePriorities - 1;
  return std::min(requestPriority(route, account), Last) * RoutePriorities +
         std::min(route.Priority, Last);
}

std::set<std::uint32_t> competingPriorities(const RouteTable &table,
                                            const std::string &service) {
  // There may be thousands of routes, but they have few priorities.
  std::map<std::uint32_t, const Route *> routeByPriority;
  for (const auto &route : table.routes())
    for (const auto &it : route.Services)
      if (it.Service == service)
        routeByPriority.emplace(route.Priority, &route);
  std::set<std::uint32_t> priorities;
  for (const auto &[priority, route] : routeByPriority) {
    priorities.insert(competingPriority(*route, nullptr));
    for (const auto &account : table.accounts())
      priorities.insert(competingPriority(*route, &account));
  }
  return priorities;
}

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
