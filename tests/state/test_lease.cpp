#include "fakelog.h"
#include "libbergamotstate/fenceguard.h"
#include "libbergamotstate/leasetable.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace bergamot;
using namespace bergamot::state;

namespace {

const std::string LeaseName = "g";
constexpr std::int64_t DurationMs = 1000;
constexpr std::int64_t RetentionMs = 40000;

LeaseSettings settings() {
  LeaseSettings result;
  result.Duration = std::chrono::milliseconds(DurationMs);
  result.Margin = std::chrono::milliseconds(20);
  result.ForgetAfter = std::chrono::milliseconds(RetentionMs / 2);
  return result;
}

/// A candidate for the lease. Its clock runs up to 0.5% fast or slow, and it
/// may crash or pause, also between checking the lease and sending an order.
class Candidate {
public:
  Candidate(std::string name, std::uint64_t seed, FakeLog &log)
      : Name(std::move(name)), Random(seed), Log(log),
        Rate(1.0 + (double(Random.below(11)) - 5) / 1000) {
    start();
  }

  /// Returns the token of an order that was sent now, if any. An order is sent
  /// after its check, possibly much later.
  std::optional<base::FencingToken> step(std::int64_t now) {
    if (now < PausedUntil)
      return std::nullopt;
    const auto order = std::exchange(Order, std::nullopt);
    if (Random.below(1500) == 0)
      start();
    if (!Log.Down && Random.chance(60))
      for (const auto &it : Log.read(Table->next().Value, 1 + Random.below(9)))
        Table->apply(it, clock(now));
    const bool caughtUp = Table->next().Value >= Log.end();
    if (const auto renewAt = Table->renewAt(LeaseName);
        renewAt && clock(now) >= *renewAt && Random.chance(10))
      send(Random.chance(5) ? Table->makeRelease(LeaseName, clock(now))
                            : Table->makeRenewal(LeaseName, clock(now)),
           now);
    else if (caughtUp && Random.chance(3))
      send(Table->makeAcquisition(LeaseName, clock(now)), now);
    Order = Table->heldToken(LeaseName, clock(now));
    if (Random.below(300) == 0)
      PausedUntil = now + std::int64_t(Random.below(4 * DurationMs));
    return order;
  }

  bool holds(std::int64_t now) const {
    return now >= PausedUntil && Table->heldToken(LeaseName, clock(now));
  }

private:
  base::TimePoint clock(std::int64_t now) const {
    return base::TimePoint(
        std::chrono::microseconds(std::int64_t(double(now) * 1000 * Rate)));
  }

  void start() {
    Table = std::make_unique<LeaseTable>(
        base::VmId{Name}, base::Incarnation{++Incarnation}, settings());
    Order.reset();
  }

  void send(const std::optional<std::string> &text, std::int64_t now) {
    if (text)
      Log.append({*text}, now, 20);
  }

  std::string Name;
  SeededRandom Random;
  FakeLog &Log;
  double Rate;
  std::uint64_t Incarnation = 0;
  std::int64_t PausedUntil = 0;
  std::unique_ptr<LeaseTable> Table;
  std::optional<base::FencingToken> Order;
};

/// Reference implementation that computes the lease version by scanning all
/// records.
LeaseVersion referenceVersion(const std::vector<LogRecord> &log) {
  std::optional<LeaseVersion> version;
  bool released = false;
  std::int64_t stored = 0;
  for (const auto &it : log) {
    const auto in = *parseLeaseRecord(it.Data);
    const auto ms = base::toUnixMilliseconds(it.Time);
    const bool acquires = in.Kind == LeaseKind::Acquire;
    if (version && acquires && in.Version != version &&
        ms - stored < RetentionMs / 2)
      continue;
    if (version && !acquires &&
        (released || in.Version->Token != version->Token ||
         in.Version->Renewal <= version->Renewal))
      continue;
    version = acquires ? LeaseVersion{{it.Offset.Value}, 0} : *in.Version;
    released = in.Kind == LeaseKind::Release;
    stored = ms;
  }
  return version.value_or(LeaseVersion{});
}

} // namespace

// Guards against fields lost in serialization.
TEST_CASE("lease records round-trip", "[lease]") {
  LeaseRecord record{LeaseKind::Renew,
                     "g",
                     {"vm/1"},
                     {2},
                     3,
                     LeaseVersion{{4}, 5},
                     std::chrono::milliseconds(6)};
  CHECK(parseLeaseRecord(toText(record)) == record);
  record.Version.reset();
  CHECK_FALSE(parseLeaseRecord(toText(record)));
  record.Kind = LeaseKind::Acquire;
  CHECK(parseLeaseRecord(toText(record)) == record);
  CHECK_FALSE(parseLeaseRecord("{}"));
}

// Guards against a holder that still acts when others may acquire the lease.
TEST_CASE("holders stop before others may acquire", "[lease]") {
  LeaseTable a({"a"}, {1}, settings());
  LeaseTable b({"b"}, {1}, settings());
  const auto text = a.makeAcquisition(LeaseName, at(0));
  REQUIRE(text);
  const LogRecord record{{7}, wallAt(500), *text};
  CHECK(a.apply(record, at(600)).Accepted);
  b.apply(record, at(0));
  CHECK(a.heldToken(LeaseName, at(999)) == base::FencingToken{7});
  CHECK_FALSE(a.heldToken(LeaseName, at(1000)));
  CHECK_FALSE(b.mayAcquire(LeaseName, at(1029)));
  CHECK(b.mayAcquire(LeaseName, at(1030)));
  // A renewal stored before the acquisition causes its rejection.
  const auto acquisition = b.makeAcquisition(LeaseName, at(1030));
  const auto renewal = a.makeRenewal(LeaseName, at(900));
  REQUIRE(renewal);
  for (auto *it : {&a, &b}) {
    CHECK(it->apply({{8}, wallAt(900), *renewal}, at(1040)).Accepted);
    CHECK_FALSE(it->apply({{9}, wallAt(900), *acquisition}, at(1040)).Accepted);
  }
  CHECK(a.heldToken(LeaseName, at(1899)) == base::FencingToken{7});
  const auto released = a.makeRelease(LeaseName, at(1500));
  CHECK_FALSE(a.heldToken(LeaseName, at(1500)));
  b.apply({{10}, wallAt(1500), *released}, at(1500));
  CHECK(b.mayAcquire(LeaseName, at(1500)));
}

// Guards against accepting orders of a former holder, and orders before a
// restarted guard knows the highest tokens.
TEST_CASE("the guard rejects stale tokens and all orders before replay",
          "[lease]") {
  FenceGuard guard;
  guard.setToken(LeaseName, {5});
  CHECK(guard.checkOrder(LeaseName, {9}) == FenceVerdict::NotReplayed);
  guard.setReplayed();
  CHECK(guard.checkOrder(LeaseName, {4}) == FenceVerdict::Stale);
  CHECK(guard.checkOrder(LeaseName, {5}) == FenceVerdict::Accepted);
  CHECK(guard.checkOrder(LeaseName, {9}) == FenceVerdict::Accepted);
  CHECK(guard.checkOrder(LeaseName, {5}) == FenceVerdict::Stale);
  CHECK(guard.checkOrder("other", {1}) == FenceVerdict::Accepted);
}

// Guards against two simultaneous holders, and against decreasing tokens at an
// engine that doesn't check them, under pauses longer than the lease, clock
// drift, crashes, guard restarts, outages, lost responses and retention.
TEST_CASE("at most one holder at a time", "[lease][property]") {
  std::uint64_t orders = 0;
  std::uint64_t stale = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    FakeLog log(seed, RetentionMs);
    std::vector<std::unique_ptr<Candidate>> candidates;
    for (std::uint64_t i = 0; i < 4; ++i)
      candidates.push_back(std::make_unique<Candidate>("c" + std::to_string(i),
                                                       seed * 10 + i, log));
    SeededRandom random(seed);
    LeaseTable reader({"target"}, {1}, settings());
    std::uint64_t guardReplayEnd = 0;
    FenceGuard guard;
    base::FencingToken engineHighest;
    std::int64_t outageEnd = 0;
    for (std::int64_t now = 0; now < 100000; now += 10) {
      if (random.below(1000) == 0)
        outageEnd = now + std::int64_t(random.below(
                              random.chance(10) ? 2 * RetentionMs : 3000));
      log.Down = now < outageEnd;
      log.tick(now);
      if (random.below(2000) == 0) {
        guard = {};
        reader = LeaseTable({"target"}, {1}, settings());
        guardReplayEnd = log.end();
      }
      if (!log.Down && random.chance(50))
        for (const auto &it : log.read(reader.next().Value, 20))
          guard.setToken(LeaseName, reader.apply(it, at(now)).Token);
      if (!log.Down && reader.next().Value >= guardReplayEnd)
        guard.setReplayed();
      int holders = 0;
      for (auto &it : candidates) {
        if (const auto order = it->step(now)) {
          const auto verdict = guard.checkOrder(LeaseName, *order);
          stale += verdict == FenceVerdict::Stale;
          if (verdict == FenceVerdict::Accepted) {
            REQUIRE(*order >= engineHighest);
            engineHighest = *order;
            ++orders;
          }
        }
      }
      for (const auto &it : candidates)
        holders += it->holds(now);
      REQUIRE(holders <= 1);
    }
  }
  WARN("seeds 1 to 60: " << orders << " orders, " << stale << " stale");
  CHECK(orders > 1000);
  CHECK(stale > 0);
}

// Guards against a table whose decisions differ from a replay from the start.
TEST_CASE("the table matches a replay from the start",
          "[lease][differential]") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    SeededRandom random(seed);
    LeaseTable table({"t"}, {1}, settings());
    std::vector<LogRecord> log;
    std::vector<LeaseVersion> seen{{}};
    std::int64_t ms = 0;
    for (std::uint64_t i = 0; i < 80; ++i) {
      ms += std::int64_t(random.below(random.chance(5) ? RetentionMs : 500));
      LeaseRecord generated{
          LeaseKind(random.below(3)),
          LeaseName,
          {"c"},
          {1},
          i,
          seen[seen.size() - 1 -
               random.below(std::min<std::size_t>(3, seen.size()))],
          std::chrono::milliseconds(DurationMs)};
      if (generated.Kind != LeaseKind::Acquire)
        ++generated.Version->Renewal;
      log.push_back({{i + 1}, wallAt(ms), toText(generated)});
      table.apply(log.back(), at(ms));
      seen.push_back(referenceVersion(log));
      REQUIRE(table.version(LeaseName).value_or(LeaseVersion{}) == seen.back());
    }
  }
}
