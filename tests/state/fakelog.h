#ifndef BERGAMOT_STATE_FAKELOG_H
#define BERGAMOT_STATE_FAKELOG_H

#include "libbergamotstate/logrecord.h"

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace bergamot::state {

/// Returns the time point this many milliseconds after the clock's epoch.
inline base::TimePoint at(std::int64_t milliseconds) {
  return base::TimePoint(std::chrono::milliseconds(milliseconds));
}

/// Returns the wall-clock time this many milliseconds after the Unix epoch.
inline base::WallTime wallAt(std::int64_t milliseconds) {
  return base::fromUnixMilliseconds(milliseconds);
}

/// Seeded random number generator for tests.
class SeededRandom {
public:
  explicit SeededRandom(std::uint64_t seed) : Generator(seed) {}

  /// Returns a number below n.
  std::uint64_t below(std::uint64_t n) { return Generator() % n; }

  /// Returns true with the given probability in percent.
  bool chance(unsigned percent) { return below(100) < percent; }

private:
  std::mt19937_64 Generator;
};

/// Simulates one stream of the platform's log. It can be unavailable, lose a
/// response before or after the append takes effect, store an append late or
/// twice, and drop old records.
class FakeLog {
public:
  using Batch = std::vector<std::string>;

  /// The response to an append, as seen by the writer.
  enum class Response { Ok, Lost };

  bool Down = false;

  FakeLog(std::uint64_t seed, std::int64_t retention)
      : Random(seed), Retention(retention) {}

  Response append(const Batch &batch, std::int64_t now, unsigned faultPercent) {
    if (Down) {
      // A request that was delayed during the outage can take effect long after
      // it.
      if (Random.chance(20))
        Delayed.push_back({now + 1 + std::int64_t(Random.below(3000)), batch});
      return Response::Lost;
    }
    if (!Random.chance(faultPercent)) {
      store(batch, now);
      return Response::Ok;
    }
    if (Random.chance(50))
      store(batch, now);
    if (Random.chance(50))
      Delayed.push_back({now + 1 + std::int64_t(Random.below(3000)), batch});
    return Response::Lost;
  }

  /// Stores the delayed appends that are due and drops expired records.
  void tick(std::int64_t now) {
    for (std::size_t i = 0; i < Delayed.size();) {
      if (Delayed[i].first > now) {
        ++i;
        continue;
      }
      store(Delayed[i].second, now);
      Delayed.erase(Delayed.begin() + std::ptrdiff_t(i));
    }
    while (Earliest < Records.size() &&
           base::toUnixMilliseconds(Records[Earliest].Time) + Retention <= now)
      ++Earliest;
  }

  std::vector<LogRecord> read(std::uint64_t from, std::size_t limit) const {
    std::vector<LogRecord> found;
    for (auto i = std::max<std::uint64_t>(from, Earliest);
         i < Records.size() && found.size() < limit; ++i)
      found.push_back(Records[i]);
    return found;
  }

  std::uint64_t end() const { return Records.size(); }
  std::uint64_t earliest() const { return Earliest; }

private:
  void store(const Batch &batch, std::int64_t now) {
    for (const auto &it : batch)
      Records.push_back({{Records.size()}, wallAt(now), it});
  }

  SeededRandom Random;
  std::int64_t Retention;
  std::uint64_t Earliest = 0;
  std::vector<LogRecord> Records;
  std::vector<std::pair<std::int64_t, Batch>> Delayed;
};

} // namespace bergamot::state

#endif
