#include "libbergamotgateway/groupprogress.h"

namespace bergamot::gateway {

using base::TimePoint;

namespace {

/// Time without progress after which a group stands still. The longest passes
/// on the deployments take 200 ms, a first event up to 400 ms.
constexpr std::chrono::milliseconds StallSign{500};
/// A refusal that takes as long comes from a group that stalls; one for want
/// of room comes within a few milliseconds.
constexpr std::chrono::milliseconds SlowRefusal{250};
/// Time between requests that find out whether a group moves again.
constexpr std::chrono::milliseconds ProbePeriod{300};

} // namespace

bool GroupProgress::isMoving(const std::string &group, TimePoint now) const {
  const auto it = ByGroup.find(group);
  if (it == ByGroup.end())
    return true;
  const State &state = it->second;
  if (state.Stalled || !state.PendingSince)
    return !state.Stalled;
  return state.HasMoved && now < *state.PendingSince + StallSign;
}

bool GroupProgress::maySend(const std::string &group, TimePoint now) const {
  if (isMoving(group, now))
    return true;
  return now >= ByGroup.at(group).LastSentAt + ProbePeriod;
}

void GroupProgress::noteSent(const std::string &group, TimePoint now) {
  State &state = ByGroup[group];
  state.LastSentAt = now;
  if (!state.PendingSince)
    state.PendingSince = now;
}

void GroupProgress::noteProgress(const std::string &group) {
  State &state = ByGroup[group];
  state.HasMoved = true;
  state.Stalled = false;
  state.PendingSince.reset();
}

void GroupProgress::noteRefusal(const std::string &group, TimePoint sentAt,
                                TimePoint now) {
  if (now - sentAt < SlowRefusal)
    return;
  State &state = ByGroup[group];
  state.Stalled = true;
  state.PendingSince.reset();
}

} // namespace bergamot::gateway
