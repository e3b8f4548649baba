#ifndef BERGAMOT_BERGAMOTCTL_DIFFTEXT_H
#define BERGAMOT_BERGAMOTCTL_DIFFTEXT_H

#include "libbergamotconfig/configuration.h"

#include <string>

namespace bergamot::bergamotctl {

/// Returns the difference for people: one line for each object and, below a
/// changed object, one for each member, such as `weight: 2 -> 5`. Empty if the
/// configurations are equal.
std::string diffText(const config::Configuration &from,
                     const config::Configuration &to);

} // namespace bergamot::bergamotctl

#endif
