#include "sidecar/coordinatorelection.h"

#include <algorithm>

namespace bergamot::sidecar {

namespace {

/// Silence after which rank 0 takes over: a coordinator calls several times
/// within it.
constexpr std::chrono::milliseconds TakeOverAfter{1000};
/// Each further rank waits longer, up to MaxWaits ranks.
constexpr std::chrono::milliseconds WaitPerRank{250};
constexpr std::uint32_t MaxWaits = 12;
/// A change holds a step for some 50 ms, and for 200 ms more if the answer to
/// an order is lost.
constexpr std::chrono::milliseconds MaxHold{300};

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

void Duty::setOpen(bool open, base::TimePoint now) {
  if (open == Open)
    return;
  Open = open;
  OpenedAt = now;
}

void Duty::endPause(base::TimePoint now) {
  Holds = false;
  LastCall = now;
}

void Duty::setHeldStep(std::optional<std::uint64_t> step, base::TimePoint now) {
  if (step != HeldStep)
    HeldSince = now;
  HeldStep = step;
}

bool Duty::isCoordinator(std::uint32_t ownRank, base::TimePoint now) {
  const auto waits = std::min(ownRank, MaxWaits) * WaitPerRank;
  const bool isCalled = now < LastCall + TakeOverAfter + waits;
  const bool isFirst =
      now >= OpenedAt + (ownRank == 0 ? base::Duration::zero()
                                      : base::Duration(TakeOverAfter + waits));
  const bool holdsLong = HeldStep && now >= HeldSince + MaxHold;
  if (!Holds && Open && (holdsLong || (!isCalled && isFirst)))
    Holds = true;
  return Holds;
}

} // namespace bergamot::sidecar
