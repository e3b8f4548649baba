#include "adaptertcp/unreaddatapolicy.h"

#include <algorithm>
#include <tuple>

namespace bergamot::adaptertcp {

using base::TimePoint;
using std::chrono::milliseconds;

namespace {

/// A peer that hasn't read for this time has stopped reading.
constexpr milliseconds ReadPauseLimit{1000};
/// A server of which nothing has been heard for this time is probed.
constexpr milliseconds SilenceBeforeProbe = UnansweredTimeout - ProbeTimeout;
/// The kernel ends a connection this long after this process would, so that it
/// only acts for a process that has ended or stands still.
constexpr milliseconds KernelMargin{2000};
/// The kernel's timeout is a multiple of this, so that it is rarely set.
constexpr milliseconds KernelTimeoutStep{5000};

} // namespace

const char *giveUpReasonName(GiveUpReason reason) {
  switch (reason) {
  case GiveUpReason::Unreachable:
    return "unreachable";
  case GiveUpReason::Unread:
    return "unread";
  case GiveUpReason::Memory:
    return "memory";
  }
  return "";
}

void UnreadDataPolicy::dataQueued(const SendState &state, TimePoint now) {
  QueuedAt = now;
  ProgressAt = now;
  SilentSince = now;
  CheckedAt = now;
  Checked = state;
  AcknowledgedBytes = state.AcceptedBytes;
  setReadDeadline(ReadDeadline, now, false);
}

void UnreadDataPolicy::setReadDeadline(TimePoint deadline, TimePoint now,
                                       bool hasUnreadData) {
  if (deadline <= now)
    deadline = now + UnansweredTimeout;
  ReadDeadline = hasUnreadData ? std::max(ReadDeadline, deadline) : deadline;
}

bool UnreadDataPolicy::mayBeUnread(const SendState &state,
                                   TimePoint now) const {
  if (state.UnsentBytes > 0)
    return true;
  return state.QueuedBytes ? *state.QueuedBytes > 0 : now < ReadDeadline;
}

/// Returns whether the peer is seen to have read since the last check.
bool UnreadDataPolicy::hasProgressed(const SendState &state) const {
  if (state.QueuedBytes)
    return state.AcceptedBytes > AcknowledgedBytes + *state.QueuedBytes;
  // The kernel has room again once the peer has read.
  return state.DeferredBytes > Checked.DeferredBytes;
}

std::optional<GiveUpReason> UnreadDataPolicy::check(const SendState &state,
                                                    TimePoint now) {
  if (hasProgressed(state)) {
    ProgressAt = now;
    SilentSince = now;
    if (state.QueuedBytes)
      AcknowledgedBytes = state.AcceptedBytes - *state.QueuedBytes;
  }
  // What arrived while this process stood still may not have been seen.
  if (state.ReceivedBytes != Checked.ReceivedBytes ||
      now - CheckedAt > 2 * CheckPeriod)
    SilentSince = now;
  CheckedAt = now;
  Checked = state;
  if (now >= ReadDeadline && now - ProgressAt >= ReadPauseLimit)
    return GiveUpReason::Unread;
  return std::nullopt;
}

bool UnreadDataPolicy::needsProbe(TimePoint now) const {
  return Origin == ConnectionOrigin::Opened &&
         now - SilentSince >= SilenceBeforeProbe;
}

bool UnreadDataPolicy::isUnreachable(TimePoint probedAt) const {
  return Origin == ConnectionOrigin::Opened &&
         probedAt - SilentSince >= SilenceBeforeProbe;
}

milliseconds UnreadDataPolicy::kernelTimeout(TimePoint now) const {
  const auto time = std::chrono::ceil<milliseconds>(
      std::max(ReadDeadline, now) - QueuedAt + KernelMargin);
  const auto steps =
      (time + KernelTimeoutStep - milliseconds(1)) / KernelTimeoutStep;
  return steps * KernelTimeoutStep;
}

std::vector<std::size_t>
connectionsToGiveUp(const std::vector<UnreadData> &connections,
                    std::size_t maxBytes) {
  std::size_t sum = 0;
  std::vector<std::size_t> stalled;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    sum += connections[i].Bytes;
    if (connections[i].Stalled)
      stalled.push_back(i);
  }
  std::stable_sort(
      stalled.begin(), stalled.end(), [&](std::size_t a, std::size_t b) {
        const UnreadData &x = connections[a];
        const UnreadData &y = connections[b];
        return std::tie(x.Uncertain, y.Bytes) < std::tie(y.Uncertain, x.Bytes);
      });
  std::size_t count = 0;
  for (; count < stalled.size() && sum > maxBytes; ++count)
    sum -= connections[stalled[count]].Bytes;
  stalled.resize(count);
  return stalled;
}

} // namespace bergamot::adaptertcp
