// Replays overload and a power loss in virtual time and compares the current
// queue policy with the FIFO policy that it replaced.
#include "loadreplay.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace bergamot;
using namespace bergamot::worstload;
using namespace std::chrono_literals;
using gateway::WaitingRequest;

namespace {

/// Sends requests in order of arrival. Each one waits until it would be late,
/// or for up to 2.5 s while all targets are stalled.
class FifoPolicy {
public:
  bool admit(const WaitingRequest &request, TimePoint, bool stalled,
             std::uint32_t slots) {
    if (stalled && Waiting.size() >= slots)
      return false;
    Waiting.push_back(request);
    return true;
  }
  std::optional<WaitingRequest> next(TimePoint, std::uint32_t slotsInUse,
                                     std::uint32_t slots) {
    if (Waiting.empty() || slotsInUse >= slots)
      return std::nullopt;
    const WaitingRequest first = Waiting.front();
    Waiting.erase(Waiting.begin());
    return first;
  }
  std::vector<WaitingRequest> drop(TimePoint now, bool stalled, std::uint32_t) {
    std::vector<WaitingRequest> dropped;
    std::erase_if(Waiting, [&](const WaitingRequest &it) {
      const TimePoint until = stalled ? it.ArrivedAt + 2500ms : it.OnTimeUntil;
      if (until <= now)
        dropped.push_back(it);
      return until <= now;
    });
    return dropped;
  }

private:
  std::vector<WaitingRequest> Waiting;
};

struct Comparison {
  Result Fifo;
  Result Current;
};

Comparison replaySeeds(Load load) {
  Comparison results;
  for (load.Seed = 1; load.Seed <= 20; ++load.Seed) {
    results.Fifo.add(replay(load, FifoPolicy()));
    results.Current.add(replay(load, CurrentPolicy()));
  }
  CAPTURE(results.Fifo.OnTime, results.Fifo.Late, results.Fifo.Rejected,
          results.Current.OnTime, results.Current.Late,
          results.Current.Rejected);
  CHECK(results.Current.score() > results.Fifo.score());
  return results;
}

} // namespace

TEST_CASE(
    "burst of twice the capacity leaves more requests on time than FIFO") {
  // The capacity is 25 requests per second.
  Load load;
  load.Rates = {{0ms, 19}, {2000ms, 50}, {6000ms, 19}};
  const Comparison results = replaySeeds(load);
  CHECK(results.Current.OnTime > results.Fifo.OnTime);
  CHECK(results.Current.LongestWait <= 2000ms);
}

TEST_CASE("power loss doesn't make later requests late") {
  // Arrivals leave part of the capacity for the backlog.
  Load load;
  load.Rates = {{0ms, 19}};
  load.StalledUntil = 2200ms;
  const Comparison results = replaySeeds(load);
  CHECK(results.Current.OnTime > results.Fifo.OnTime);
  // Callers disconnect after two seconds; requests sent later are wasted.
  CHECK(results.Fifo.Wasted > 0);
  CHECK(results.Current.Wasted == 0);
  CHECK(results.Current.LongestWait <= 2000ms);
}

TEST_CASE("load below capacity is served no worse than with FIFO") {
  Load load;
  load.Rates = {{0ms, 15}};
  Result fifo;
  Result current;
  for (load.Seed = 1; load.Seed <= 20; ++load.Seed) {
    fifo.add(replay(load, FifoPolicy()));
    current.add(replay(load, CurrentPolicy()));
  }
  CAPTURE(fifo.OnTime, current.OnTime, fifo.Rejected, current.Rejected);
  CHECK(current.score() >= fifo.score());
}
