#include "sidecar/coordinatorelection.h"

#include <algorithm>

namespace bergamot::sidecar {

namespace {

/// Time without a call after which rank 0 takes over; a coordinator calls
/// several times within it.
constexpr std::chrono::milliseconds TakeoverTimeout{1000};
/// Additional delay per rank, for at most MaxDelayRanks ranks.
constexpr std::chrono::milliseconds TakeoverDelayPerRank{250};
constexpr std::uint32_t MaxDelayRanks = 12;
/// A change holds a step for about 50 ms, and for 200 ms more if the response
/// to an order is lost.
constexpr std::chrono::milliseconds MaxHoldTime{300};

} // namespace

void CoordinatorElection::recordCall(std::uint32_t callerRank,
                                     std::uint32_t ownRank,
                                     base::TimePoint now) {
  if (callerRank == ownRank)
    return;
  // Of two coordinators, the one with the lower rank continues.
  if (IsCoordinating && callerRank > ownRank)
    return;
  LastCallAt = now;
  IsCoordinating = false;
}

void CoordinatorElection::setGroupOpen(bool open, base::TimePoint now) {
  if (open == Open)
    return;
  Open = open;
  OpenedAt = now;
}

void CoordinatorElection::resetAfterPause(base::TimePoint now) {
  IsCoordinating = false;
  LastCallAt = now;
}

void CoordinatorElection::setHeldStep(std::optional<std::uint64_t> step,
                                      base::TimePoint now) {
  if (step != HeldStep)
    StepHeldSince = now;
  HeldStep = step;
}

bool CoordinatorElection::isCoordinator(std::uint32_t ownRank,
                                        base::TimePoint now) {
  const auto rankDelay =
      std::min(ownRank, MaxDelayRanks) * TakeoverDelayPerRank;
  const bool calledRecently = now < LastCallAt + TakeoverTimeout + rankDelay;
  const bool startupDelayOver =
      now >= OpenedAt + (ownRank == 0
                             ? base::Duration::zero()
                             : base::Duration(TakeoverTimeout + rankDelay));
  const bool holdExpired = HeldStep && now >= StepHeldSince + MaxHoldTime;
  if (!IsCoordinating && Open &&
      (holdExpired || (!calledRecently && startupDelayOver)))
    IsCoordinating = true;
  return IsCoordinating;
}

} // namespace bergamot::sidecar
