#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_COMPETINGTERMS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_COMPETINGTERMS_H

#include "libbergamotgateway/routetable.h"

#include <cstdint>
#include <set>
#include <string>

namespace bergamot::gateway {

/// Returns the services for whose slots routes with different terms compete:
/// two streaming routes to the service differ in priority or in latency
/// objective.
std::set<std::string> servicesWithCompetingTerms(const RouteTable &table);

/// Returns the priority of a request: that of its account, which may be null,
/// or else that of its route.
std::uint32_t requestPriority(const Route &route, const ClientAccount *account);

/// Returns the priority of a request among competing ones: requests of the same
/// requestPriority() are ordered by the priorities of their routes. An
/// account's priority says how urgent it is compared with others, not which of
/// its requests come first. A request without an account counts as one whose
/// account has the route's priority.
std::uint32_t competingPriority(const Route &route,
                                const ClientAccount *account);

/// Returns the competingPriority() of all requests that a service may get.
std::set<std::uint32_t> competingPriorities(const RouteTable &table,
                                            const std::string &service);

/// Whether a decision that is meant for competing requests is in effect.
enum class Activation {
  /// For services with competing terms.
  Auto,
  On,
  Off,
};

/// Returns the services of a configuration for which a decision is in effect.
std::set<std::string> activeServices(Activation activation,
                                     const RouteTable &table);

} // namespace bergamot::gateway

#endif
