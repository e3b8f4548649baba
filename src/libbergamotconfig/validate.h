#ifndef BERGAMOT_LIBBERGAMOTCONFIG_VALIDATE_H
#define BERGAMOT_LIBBERGAMOTCONFIG_VALIDATE_H

#include "libbergamotconfig/configuration.h"
#include "libbergamotconfig/problem.h"

#include <string_view>
#include <vector>

namespace bergamot::config {

/// Largest body of a request. A Dispatch frame of at most 1 MiB carries the
/// body, its headers and the envelope; 64 KiB are left for the latter two.
constexpr std::uint64_t HighestBodyBytes = (1U << 20) - (64U << 10);

/// Returns every problem of the configuration: dangling references, duplicate
/// ids and endpoints, services without an active target, and values out of
/// bounds. An empty list means that the configuration may take effect. A
/// service whose targets are all in removed failure domains is allowed, so
/// that a domain can always be removed.
std::vector<Problem> validate(const Configuration &configuration);

/// Returns whether a text may be an id: 1 to 64 letters, digits, `-`, `_` and
/// `.`, starting with a letter or digit.
bool isId(std::string_view text);

} // namespace bergamot::config

#endif
