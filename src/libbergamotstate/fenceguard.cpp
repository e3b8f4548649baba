#include "libbergamotstate/fenceguard.h"

#include <algorithm>

namespace bergamot::state {

void FenceGuard::setToken(const std::string &group, base::FencingToken token) {
  auto &highest = Highest[group];
  highest = std::max(highest, token);
}

FenceVerdict FenceGuard::addOrder(const std::string &group,
                                  base::FencingToken token) {
  if (!Replayed)
    return FenceVerdict::NotReplayed;
  if (token < highestToken(group))
    return FenceVerdict::Stale;
  setToken(group, token);
  return FenceVerdict::Accepted;
}

base::FencingToken FenceGuard::highestToken(const std::string &group) const {
  const auto it = Highest.find(group);
  return it == Highest.end() ? base::FencingToken{} : it->second;
}

} // namespace bergamot::state
