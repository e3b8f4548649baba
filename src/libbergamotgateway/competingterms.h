#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_COMPETINGTERMS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_COMPETINGTERMS_H

#include "libbergamotgateway/routetable.h"

#include <set>
#include <string>

namespace bergamot::gateway {

/// Returns the services for whose slots routes with different terms compete:
/// two streaming routes to the service differ in priority or in latency
/// objective.
std::set<std::string> servicesWithCompetingTerms(const RouteTable &table);

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
