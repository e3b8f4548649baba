// The duty of reporting usage passes between entries.
#include "reporterexplorer.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::usage;
using namespace std::chrono_literals;

namespace {

ReporterExplorer::Options withoutFaults() {
  ReporterExplorer::Options options;
  options.Faults = false;
  return options;
}

/// Once the faults are over and all entries are connected, windows are reported
/// again.
void checkReportsResume(ReporterExplorer &explorer) {
  for (std::size_t i = 0; i < explorer.nodeCount(); ++i)
    explorer.cut(i, false, false);
  explorer.run(30s);
  const auto next = explorer.currentWindow();
  explorer.run(20s);
  REQUIRE(explorer.isReported(next));
  REQUIRE(explorer.violation().empty());
}

} // namespace

TEST_CASE("one entry reports every window") {
  ReporterExplorer explorer(withoutFaults());
  explorer.run(15s);
  const auto first = explorer.currentWindow();
  const std::size_t callsBefore = explorer.storeCalls();
  explorer.run(60s);
  for (auto w = first; w < explorer.currentWindow() - 1; ++w)
    CHECK(explorer.isReported(w));
  CHECK(explorer.holderChanges() == 1);
  // One call for each window that has ended.
  CHECK(explorer.storeCalls() - callsBefore == 12);
  CHECK(explorer.violation().empty());
}

TEST_CASE("windows are reported in time after the holder is gone") {
  // Guards against a window that waits for a holder that was killed, paused,
  // cut off from the store, or cut off from the other entries.
  const int fault = GENERATE(0, 1, 2, 3, 4);
  CAPTURE(fault);
  ReporterExplorer explorer(withoutFaults());
  explorer.run(20s);
  const std::size_t holder = explorer.holder();
  REQUIRE(holder < explorer.nodeCount());
  switch (fault) {
  case 0:
    explorer.kill(holder);
    break;
  case 1:
    explorer.pause(holder, 7s);
    break;
  case 2:
    explorer.cut(holder, true, false);
    break;
  case 3:
    explorer.cut(holder, false, true);
    break;
  default:
    explorer.cut(holder, true, true);
    break;
  }
  const auto next = explorer.currentWindow();
  // Reports are due ten seconds after the end of their window, which ends five
  // seconds from now at the latest.
  explorer.run(15s);
  CHECK(explorer.isReported(next - 1));
  CHECK(explorer.isReported(next));
  CHECK(explorer.violation().empty());
}

TEST_CASE("two holders never act on the same permission") {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    ReporterExplorer::Options options;
    options.Seed = seed;
    if (seed % 2 == 0) {
      options.AnnouncementLoss = 0.9;
      options.ReportLoss = 0.8;
    }
    ReporterExplorer explorer(options);
    explorer.run(80s);
    CAPTURE(seed, explorer.violation());
    REQUIRE(explorer.violation().empty());
    checkReportsResume(explorer);
  }
}

// After a restoration the store gave out tokens again, and windows were sent
// with other counts.
TEST_CASE("no window is sent with two counts after the store was restored") {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    ReporterExplorer::Options options;
    options.Seed = seed;
    options.Restorations = true;
    if (seed % 2 == 0)
      options.AnnouncementLoss = 0.9;
    if (seed % 3 == 0)
      options.ReportLoss = 0.8;
    ReporterExplorer explorer(options);
    explorer.run(80s);
    CAPTURE(seed, explorer.violation());
    REQUIRE(explorer.violation().empty());
    checkReportsResume(explorer);
  }
}

TEST_CASE("the explorer finds holders that act on an expired permission") {
  bool found = false;
  for (std::uint64_t seed = 1; seed <= 400 && !found; ++seed) {
    ReporterExplorer::Options options;
    options.Seed = seed;
    options.SendsLate = true;
    options.FaultsUntil = 300s;
    ReporterExplorer explorer(options);
    explorer.run(300s);
    found = !explorer.violation().empty();
  }
  CHECK(found);
}
