#ifndef BERGAMOT_STANDIN_ENGINESTATE_H
#define BERGAMOT_STANDIN_ENGINESTATE_H

#include "libbergamotbase/timetypes.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::standin {

/// Capacity and timing of the engine stand-in.
struct EngineLimits {
  std::uint64_t KvTokens = 100000;
  /// Concurrent requests that a warm engine bears; 0 means no limit.
  std::uint32_t MaxRunning = 0;
  /// Concurrent requests that a cold engine bears; 0 means no limit.
  std::uint32_t ColdLimit = 2;
  /// Completed requests that make a cold engine warm.
  std::uint32_t WarmAfter = 8;
  /// After turning cold without a restart, how long requests above the cold
  /// limit are slow but not fatal, so that a balancer can learn of it.
  std::chrono::milliseconds ColdGrace{1000};
  /// How long the engine refuses connections when it restarts.
  std::chrono::milliseconds RestartTime{200};
  /// Age of the state that the load report shows.
  std::chrono::milliseconds LoadLag{0};
  /// Delay of cache events.
  std::chrono::milliseconds EventLag{0};
  /// Every n-th cache event is lost; 0 loses none.
  std::uint32_t EventGap = 0;
  /// Prompt blocks that the prefix cache holds.
  std::size_t CacheBlocks = 1000;
};

/// One admitted request.
struct EngineRun {
  std::uint64_t Number = 0;
  std::uint64_t Incarnation = 0;
  bool IsCold = false;
};

/// What the engine stand-in holds: running requests with their KV tokens, its
/// incarnation, warmth, cache and counters. When the running requests exceed
/// its memory or its limit, it falls over: it restarts with a new incarnation,
/// cold, and all runs end. Safe to use from several threads.
class EngineState {
public:
  explicit EngineState(const EngineLimits &limits);

  /// Takes a request that needs that many KV tokens. Returns nothing if the
  /// engine is restarting or falls over because of it.
  std::optional<EngineRun> begin(const std::string &requestId,
                                 std::uint64_t kvTokens);

  /// Returns whether the run is neither cancelled nor lost in a restart.
  bool isRunning(const EngineRun &run) const;

  /// Ends a run. Completed runs warm the engine up.
  void finish(const EngineRun &run, bool isCompleted);

  /// Cancels the run of a request. Returns whether there was one.
  bool cancel(const std::string &requestId);

  /// Marks prompt blocks as cached and publishes the events.
  void addBlocks(const std::vector<std::uint64_t> &blocks);

  /// Turns the engine cold without a restart.
  void setCold();

  /// Makes the engine fall over.
  void restart();

  /// Returns whether the engine is restarting.
  bool isRestarting() const;
  std::uint64_t incarnation() const;

  /// Returns the body of `GET /v1/load`, as old as the lag says.
  nlohmann::json loadReport() const;

  /// Returns the cache events from the sequence number on that are visible.
  nlohmann::json cacheEvents(std::uint64_t from) const;

  /// Returns the body of `GET /debug/stats`.
  nlohmann::json stats() const;

private:
  struct Run {
    std::string RequestId;
    std::uint64_t KvTokens = 0;
  };
  struct Event {
    std::uint64_t Sequence = 0;
    const char *Kind = "";
    std::uint64_t Block = 0;
    base::TimePoint VisibleAt;
  };
  struct Report {
    base::TimePoint At;
    nlohmann::json Body;
  };
  struct Counters {
    std::uint64_t Requests = 0;
    std::uint64_t Completed = 0;
    std::uint64_t Cancelled = 0;
    std::uint64_t Refused = 0;
    std::uint64_t KvOverloads = 0;
    std::uint64_t ColdOverloads = 0;
    std::uint64_t RunningOverloads = 0;
    std::uint64_t HighestRunning = 0;
    std::uint64_t HighestKvTokens = 0;
    std::uint64_t DuplicateIds = 0;
  };

  bool isOverloaded(std::uint64_t kvTokens);
  void fallOver();
  void addEvent(const char *kind, std::uint64_t block);
  void noteReport();

  EngineLimits Limits;
  mutable std::mutex Mutex;
  std::uint64_t Incarnation;
  bool Cold = true;
  std::uint32_t CompletedSinceCold = 0;
  base::TimePoint GraceUntil;
  base::TimePoint RestartedAt;
  std::uint64_t LastRun = 0;
  std::map<std::uint64_t, Run> Runs;
  std::uint64_t KvUsed = 0;
  std::deque<std::uint64_t> Cached;
  std::deque<Event> Events;
  std::uint64_t LastSequence = 0;
  std::deque<Report> Reports;
  Counters Count;
};

} // namespace bergamot::standin

#endif
