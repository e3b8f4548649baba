#include "bergamotctl/logreplay.h"

#include "libbergamotbase/error.h"

#include <algorithm>
#include <thread>
#include <vector>

namespace bergamot::bergamotctl {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Records per read. A snapshot at two-year size has about 3 MB.
constexpr std::size_t ReadLimit = 64;

/// Time of the first read. The adapter keeps 500 ms of it for the transfer,
/// so a read at the end of the log returns after 100 ms.
constexpr milliseconds FirstReadTime{600};

/// Pause after a failed read, so that a log that refuses connections isn't
/// asked in a tight loop.
constexpr milliseconds RetryPause{50};

} // namespace

bool LogReplay::readOnce(base::TimePoint deadline) {
  const adapterplatform::LogPage page = Log.read(Position, ReadLimit, deadline);
  std::vector<config::LogRecord> records;
  records.reserve(page.Records.size());
  for (const auto &record : page.Records)
    records.push_back({record.Offset, record.Time, record.Text});
  const auto verdicts = Ledger.applyPage(std::move(records), page.Earliest);
  Position = std::max({Position, Ledger.nextOffset(), page.Earliest});
  return !verdicts.empty();
}

void LogReplay::readToEnd(base::TimePoint deadline) {
  milliseconds slice = FirstReadTime;
  for (;;) {
    try {
      if (!readOnce(std::min(deadline, steady_clock::now() + slice)))
        return;
    } catch (const base::Error &) {
      if (steady_clock::now() + RetryPause >= deadline)
        throw;
      std::this_thread::sleep_for(RetryPause);
      slice *= 2;
    }
  }
}

} // namespace bergamot::bergamotctl
