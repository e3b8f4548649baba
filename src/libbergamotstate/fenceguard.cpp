#include "libbergamotstate/fenceguard.h"

#include <algorithm>

namespace bergamot::state {

void FenceGuard::setToken(const std::string &group, base::FencingToken token) {
  auto &highest = HighestTokens[group];
  highest = std::max(highest, token);
}

FenceVerdict FenceGuard::checkOrder(const std::string &group,
                                    base::FencingToken token) {
  if (!Replayed)
    return FenceVerdict::NotReplayed;
  if (token < highestToken(group))
    return FenceVerdict::Stale;
  setToken(group, token);
  return FenceVerdict::Accepted;
}

base::FencingToken FenceGuard::highestToken(const std::string &group) const {
  const auto it = HighestTokens.find(group);
  return it == HighestTokens.end() ? base::FencingToken{} : it->second;
}

} // namespace bergamot::state
