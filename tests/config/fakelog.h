#ifndef BERGAMOT_CONFIG_FAKELOG_H
#define BERGAMOT_CONFIG_FAKELOG_H

#include "adapterplatform/platformlog.h"
#include "libbergamotbase/error.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bergamot::bergamotctl {

/// State of the in-memory log. Faults can be set while it is used.
struct FakeLogState {
  std::vector<std::string> Records;
  /// Calls that fail without effect.
  int Down = 0;
  /// Appends that take effect and then fail.
  int LostResponses = 0;
  /// Appends that fail and take effect after this many later calls.
  int LateAppends = 0;
  std::chrono::milliseconds Delay{0};
  /// Returns the records of a read in reverse order and one of them twice.
  bool Reorders = false;
  /// Runs once before the next append.
  std::function<void()> BeforeAppend;
  int Appends = 0;
};

/// A log port over shared state.
class FakeLog {
public:
  explicit FakeLog(FakeLogState &state) : State(&state) {}

  base::LogOffset append(const std::string &, const std::vector<std::string> &r,
                         base::TimePoint deadline) {
    call(deadline);
    ++State->Appends;
    if (State->BeforeAppend)
      std::exchange(State->BeforeAppend, nullptr)();
    if (State->LateAppends > 0) {
      --State->LateAppends;
      Late.insert(Late.end(), r.begin(), r.end());
      throw failure("no response");
    }
    const base::LogOffset first{State->Records.size()};
    State->Records.insert(State->Records.end(), r.begin(), r.end());
    if (State->LostResponses > 0) {
      --State->LostResponses;
      throw failure("no response");
    }
    return first;
  }

  adapterplatform::LogPage read(const std::string &, base::LogOffset from,
                                std::size_t limit, base::TimePoint deadline) {
    call(deadline);
    adapterplatform::LogPage page;
    page.Next = from;
    while (page.Next.Value < State->Records.size() &&
           page.Records.size() < limit) {
      page.Records.push_back(
          {page.Next, base::WallTime(), State->Records[page.Next.Value]});
      ++page.Next.Value;
    }
    if (State->Reorders && !page.Records.empty()) {
      std::reverse(page.Records.begin(), page.Records.end());
      page.Records.push_back(page.Records.front());
    }
    State->Records.insert(State->Records.end(), Late.begin(), Late.end());
    Late.clear();
    return page;
  }

private:
  static base::Error failure(const char *message) {
    return {base::Step::Log, "config", message};
  }

  void call(base::TimePoint deadline) const {
    const auto left = deadline - std::chrono::steady_clock::now();
    std::this_thread::sleep_for(std::min<base::Duration>(State->Delay, left));
    if (State->Delay >= left)
      throw failure("deadline exceeded");
    if (State->Down > 0) {
      --State->Down;
      throw failure("connection refused");
    }
  }

  FakeLogState *State;
  std::vector<std::string> Late;
};

} // namespace bergamot::bergamotctl

#endif
