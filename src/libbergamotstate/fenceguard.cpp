#include "libbergamotstate/fenceguard.h"

#include <algorithm>

namespace bergamot::state {

void FenceGuard::setToken(const std::string &lease, base::FencingToken token) {
  auto &highest = HighestTokens[lease];
  highest = std::max(highest, token);
}

FenceVerdict FenceGuard::checkOrder(const std::string &lease,
                                    base::FencingToken token) {
  if (!Replayed)
    return FenceVerdict::NotReplayed;
  if (token < highestToken(lease))
    return FenceVerdict::Stale;
  setToken(lease, token);
  return FenceVerdict::Accepted;
}

base::FencingToken FenceGuard::highestToken(const std::string &lease) const {
  const auto it = HighestTokens.find(lease);
  return it == HighestTokens.end() ? base::FencingToken{} : it->second;
}

} // namespace bergamot::state
