#include "libbergamotgateway/groupprogress.h"

namespace bergamot::gateway {

using base::TimePoint;
using std::chrono::milliseconds;

namespace {

/// Time without progress after which a group counts as stalled. On the
/// deployments, passes take up to 200 ms and a first event up to 400 ms.
constexpr milliseconds StallTimeout{500};
/// A refusal after at least this time comes from a stalled group; a full target
/// refuses within a few milliseconds.
constexpr milliseconds MinStallRefusalTime{250};
/// Interval between requests that probe whether a stalled group has recovered.
constexpr milliseconds ProbeInterval{300};
/// Probe interval while the group is re-forming. Each probe may be refused, and
/// its retry counts against the retry budget.
constexpr milliseconds ReFormingProbeInterval{250};
/// A request that hasn't been refused within this time was accepted: a group
/// that is re-forming refuses within a few milliseconds.
constexpr milliseconds AcceptanceDelay{30};

} // namespace

bool GroupProgress::isReady(const std::string &group, TimePoint now) const {
  const auto it = ByGroup.find(group);
  if (it == ByGroup.end())
    return true;
  const State &state = it->second;
  if (state.ReForming)
    return state.AwaitingProgressSince &&
           now >= *state.AwaitingProgressSince + AcceptanceDelay &&
           now < *state.AwaitingProgressSince + StallTimeout;
  if (state.Stalled || !state.AwaitingProgressSince)
    return !state.Stalled;
  return state.HasProgressed &&
         now < *state.AwaitingProgressSince + StallTimeout;
}

bool GroupProgress::mayDispatch(const std::string &group, TimePoint now) const {
  if (isReady(group, now))
    return true;
  const State &state = ByGroup.at(group);
  return now >= state.LastDispatchAt +
                    (state.ReForming ? ReFormingProbeInterval : ProbeInterval);
}

void GroupProgress::recordDispatch(const std::string &group, TimePoint now) {
  State &state = ByGroup[group];
  state.LastDispatchAt = now;
  if (!state.AwaitingProgressSince)
    state.AwaitingProgressSince = now;
}

void GroupProgress::recordProgress(const std::string &group, TimePoint now) {
  State &state = ByGroup[group];
  state.HasProgressed = true;
  state.Stalled = false;
  state.ReForming = false;
  state.LastProgressAt = now;
  state.AwaitingProgressSince.reset();
}

void GroupProgress::recordRefusal(const std::string &group, TimePoint sentAt,
                                  TimePoint now) {
  State &state = ByGroup[group];
  const bool isQuick = now - sentAt < MinStallRefusalTime;
  // A full target also refuses quickly while its group makes progress.
  if (isQuick && now < state.LastProgressAt + StallTimeout)
    return;
  state.Stalled = !isQuick;
  state.ReForming = isQuick;
  state.AwaitingProgressSince.reset();
}

void GroupProgress::recordClosed(const std::string &group) {
  State &state = ByGroup[group];
  state.Stalled = false;
  state.ReForming = true;
  state.AwaitingProgressSince.reset();
}

void GroupProgress::recordReplacedRank(const std::string &group,
                                       TimePoint now) {
  // The record of the replaced rank may be older than the last progress.
  const auto it = ByGroup.find(group);
  if (it == ByGroup.end() || !it->second.HasProgressed ||
      now >= it->second.LastProgressAt + StallTimeout)
    recordClosed(group);
}

void GroupProgress::recordOpened(const std::string &group, TimePoint now) {
  // As many requests as wait may be sent, not only a probe.
  recordProgress(group, now);
}

} // namespace bergamot::gateway
