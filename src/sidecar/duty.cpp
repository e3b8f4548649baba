#include "sidecar/duty.h"

#include <algorithm>

namespace bergamot::sidecar {

namespace {

/// Silence after which rank 0 takes over: a coordinator calls several times
/// within it.
constexpr std::chrono::milliseconds TakeOverAfter{1000};
/// Each further rank waits longer, up to MaxWaits ranks.
constexpr std::chrono::milliseconds WaitPerRank{250};
constexpr std::uint32_t MaxWaits = 12;

} // namespace

void Duty::addCall(std::uint32_t caller, std::uint32_t ownRank,
                   base::TimePoint now) {
  if (caller == ownRank)
    return;
  // Of two coordinators, the one of the lower rank goes on.
  if (Holds && caller > ownRank)
    return;
  LastCall = now;
  Holds = false;
}

bool Duty::isCoordinator(std::uint32_t ownRank, base::TimePoint now) {
  const auto wait = TakeOverAfter + std::min(ownRank, MaxWaits) * WaitPerRank;
  if (!Holds && now >= LastCall + wait)
    Holds = true;
  return Holds;
}

} // namespace bergamot::sidecar
