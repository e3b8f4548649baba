#include "bergamotctl/publisher.h"

#include "libbergamotbase/error.h"

#include <algorithm>
#include <thread>

namespace bergamot::bergamotctl {

using config::Verdict;
using config::VerdictKind;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Time for one append or read before it is tried again.
constexpr milliseconds CallTime{2000};

/// Pause after a failed call, so that a log that refuses connections isn't
/// asked in a tight loop.
constexpr milliseconds RetryPause{50};

base::TimePoint callDeadline(base::TimePoint deadline, milliseconds time) {
  return std::min(deadline, steady_clock::now() + time);
}

} // namespace

std::optional<Verdict>
Publisher::decisionOn(const std::string &changeId) const {
  std::optional<Verdict> latest;
  for (const Verdict &verdict : Replay.ledger().verdicts()) {
    if (verdict.ChangeId != changeId)
      continue;
    // The change is in force once accepted; later repeats don't matter.
    if (verdict.Kind == VerdictKind::Accepted)
      return verdict;
    latest = verdict;
  }
  return latest;
}

bool Publisher::readBack(base::TimePoint deadline, const std::string &changeId,
                         bool mustAppear, std::string &lastError) {
  while (steady_clock::now() < deadline) {
    try {
      const bool isNew = Replay.readOnce(callDeadline(deadline, CallTime));
      if (decisionOn(changeId))
        return true;
      if (!isNew && !mustAppear)
        return false;
    } catch (const base::Error &e) {
      lastError = e.what();
      std::this_thread::sleep_for(
          std::min<base::Duration>(RetryPause, deadline - steady_clock::now()));
    }
  }
  return false;
}

Publication Publisher::publish(const config::Change &change,
                               base::TimePoint deadline) {
  Publication result;
  const std::string record = recordText(change);
  while (steady_clock::now() < deadline) {
    bool stored = false;
    try {
      ++result.Appends;
      Log.append(record, callDeadline(deadline, CallTime));
      stored = true;
    } catch (const base::Error &e) {
      result.LastError = e.what();
      std::this_thread::sleep_for(
          std::min<base::Duration>(RetryPause, deadline - steady_clock::now()));
    }
    if (readBack(deadline, change.Id, stored, result.LastError))
      break;
  }
  result.Decision = decisionOn(change.Id);
  return result;
}

} // namespace bergamot::bergamotctl
