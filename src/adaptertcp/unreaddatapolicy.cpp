#include "adaptertcp/unreaddatapolicy.h"

#include <algorithm>

namespace bergamot::adaptertcp {

using base::TimePoint;
using std::chrono::milliseconds;

namespace {

/// A single window probe may be lost, and the next one may follow only after
/// UnansweredTimeout.
constexpr unsigned MaxLostProbes = 1;
/// A peer that hasn't read for this time has stopped reading.
constexpr milliseconds ReadPauseLimit{1000};
/// The kernel ends a connection this long after this process would, so that it
/// only acts for a process that has ended or stands still.
constexpr milliseconds KernelMargin{2000};

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

void UnreadDataPolicy::dataQueued(TimePoint now) {
  ProgressAt = now;
  UnansweredSince.reset();
  WindowClosed = false;
  setReadDeadline(ReadDeadline, now, false);
}

void UnreadDataPolicy::setReadDeadline(TimePoint deadline, TimePoint now,
                                       bool hasUnreadData) {
  if (deadline <= now)
    deadline = now + UnansweredTimeout;
  ReadDeadline = hasUnreadData ? std::max(ReadDeadline, deadline) : deadline;
}

std::optional<GiveUpReason> UnreadDataPolicy::check(const SendState &state,
                                                    TimePoint now) {
  // While this process stood still, acknowledgements may not have been seen.
  if (now - CheckedAt > 2 * CheckPeriod)
    UnansweredSince.reset();
  CheckedAt = now;
  const bool hasProgressed = state.AcknowledgedBytes != AcknowledgedBytes;
  AcknowledgedBytes = state.AcknowledgedBytes;
  if (hasProgressed)
    ProgressAt = now;
  if (state.UnansweredProbes == 0)
    UnansweredSince.reset();
  else if (!UnansweredSince)
    UnansweredSince = now;
  const bool isSilent = state.UnansweredProbes > MaxLostProbes;
  WindowClosed = !hasProgressed && !isSilent && !state.DataUnanswered;
  if (isSilent && now - *UnansweredSince >= UnansweredTimeout)
    return GiveUpReason::Unreachable;
  if (WindowClosed && now >= ReadDeadline && now - ProgressAt >= ReadPauseLimit)
    return GiveUpReason::Unread;
  return std::nullopt;
}

milliseconds UnreadDataPolicy::kernelTimeout() const {
  if (!WindowClosed)
    return UnansweredTimeout;
  const auto readTime =
      std::chrono::ceil<milliseconds>(ReadDeadline - ProgressAt);
  return std::max(readTime, UnansweredTimeout) + KernelMargin;
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
  std::stable_sort(stalled.begin(), stalled.end(),
                   [&](std::size_t a, std::size_t b) {
                     return connections[a].Bytes > connections[b].Bytes;
                   });
  std::size_t count = 0;
  for (; count < stalled.size() && sum > maxBytes; ++count)
    sum -= connections[stalled[count]].Bytes;
  stalled.resize(count);
  return stalled;
}

} // namespace bergamot::adaptertcp
