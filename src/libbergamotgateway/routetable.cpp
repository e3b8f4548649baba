#include "libbergamotgateway/routetable.h"

#include <algorithm>

namespace bergamot::gateway {

namespace {

std::string toLower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return c >= 'A' && c <= 'Z' ? char(c + 32) : char(c);
  });
  return out;
}

/// The Host header may include the port that the caller connected to.
std::string_view stripPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon == std::string_view::npos || host.ends_with(']'))
    return host;
  return host.substr(0, colon);
}

std::string hostPrefixKey(std::string_view host, std::string_view prefix) {
  std::string key = toLower(host);
  key.append("\n").append(prefix);
  return key;
}

} // namespace

RouteTable::RouteTable(std::uint64_t version, std::vector<Route> routes,
                       std::vector<Service> services,
                       std::vector<ClientAccount> accounts, CallerLimits limits)
    : Version(version), Routes(std::move(routes)),
      Accounts(std::move(accounts)), Limits(limits) {
  for (auto &it : services)
    Services.emplace(it.Name, std::move(it));
  for (const auto &it : Routes)
    ByHostAndPrefix.emplace(hostPrefixKey(it.Host, it.PathPrefix), &it);
  for (const auto &it : Accounts)
    for (const auto &key : it.Keys)
      ByApiKey.emplace(key, &it);
}

const Route *RouteTable::route(std::string_view host,
                               std::string_view pathAndQuery) const {
  std::string_view path = pathAndQuery.substr(0, pathAndQuery.find('?'));
  host = stripPort(host);
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto it =
        ByHostAndPrefix.find(hostPrefixKey(host, path.substr(0, end + 1)));
    if (it != ByHostAndPrefix.end())
      return it->second;
  }
  return nullptr;
}

const ClientAccount *RouteTable::account(std::string_view key) const {
  const auto it = ByApiKey.find(std::string(key));
  return it == ByApiKey.end() ? nullptr : it->second;
}

const Service *RouteTable::service(const std::string &name) const {
  const auto it = Services.find(name);
  return it == Services.end() ? nullptr : &it->second;
}

const std::string &chooseService(const Route &route, double draw) {
  double total = 0;
  for (const auto &it : route.Services)
    total += it.Weight;
  double remaining = draw * total;
  for (const auto &it : route.Services) {
    remaining -= it.Weight;
    if (remaining < 0)
      return it.Service;
  }
  return route.Services.back().Service;
}

} // namespace bergamot::gateway
