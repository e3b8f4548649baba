#ifndef BERGAMOT_LIBBERGAMOTROUTING_FAIRQUEUE_H
#define BERGAMOT_LIBBERGAMOTROUTING_FAIRQUEUE_H

#include "libbergamotbase/accountscheduler.h"
#include "libbergamotrouting/routingtypes.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bergamot::routing {

/// Settings of a FairQueue.
struct QueueSettings {
  std::size_t RequestCapacity = 4096;
  std::size_t ByteCapacity = std::size_t{64} << 20;
  /// Maximum queueing time of a request, whatever its deadline.
  Duration MaxWait = std::chrono::seconds(10);
  /// Quantum of the deficit round robin: the request cost that an account of
  /// weight 1 is credited with per round.
  double Quantum = 1;
};

/// A queued request. Priority 0 is the most urgent. Bytes is the memory that
/// the request occupies. Deadline is when its response must be complete;
/// ExpectedServiceTime is the expected time from sending the request to the
/// complete response, so the request must be sent at least ExpectedServiceTime
/// before Deadline.
struct QueuedRequest {
  RequestId Request;
  AccountId Account;
  double Weight = 1;
  std::uint32_t Priority = 0;
  double Cost = 1;
  std::size_t Bytes = 0;
  TimePoint Deadline;
  Duration ExpectedServiceTime{};
};

/// Result of FairQueue::add(). Evicted is a queued request that was removed to
/// make room; the calling code must refuse it as QueueFull.
struct QueueVerdict {
  Refusal Reason = Refusal::None;
  Duration RetryAfter{};
  std::optional<RequestId> Evicted;
};

/// Requests of one service that wait at an entry until any target can take
/// them. More urgent priorities go first; within a priority, weighted deficit
/// round robin schedules the accounts. Requests that can't be sent in time are
/// refused on arrival.
class FairQueue {
public:
  explicit FairQueue(const QueueSettings &settings);

  /// Queues a request or refuses it at once.
  QueueVerdict add(const QueuedRequest &request, TimePoint now);

  /// Removes and returns the next request to send, if any.
  std::optional<RequestId> removeNext(TimePoint now);

  /// Removes and returns the requests that can no longer be sent in time, so
  /// that they get their final response now.
  std::vector<RequestId> removeExpired(TimePoint now);

  /// Removes a request whose client has disconnected. Returns whether it was
  /// queued.
  bool remove(const RequestId &request);

  std::size_t size() const { return Entries.size(); }
  std::size_t bytes() const { return Bytes; }

  /// Returns the expected queueing time of a new request.
  Duration expectedWait(const QueuedRequest &request, TimePoint now) const;

private:
  using Level = base::AccountScheduler<QueuedRequest>;
  struct Entry {
    std::uint32_t Priority = 0;
    Level::Position Position;
    TimePoint Expiry;
  };

  void removeEntry(std::unordered_map<RequestId, Entry>::iterator it,
                   bool isServed = false);
  std::optional<RequestId> evictToMakeRoomFor(const QueuedRequest &request);
  double servedCostPerSecond(TimePoint now) const;
  void addServedCost(double cost, TimePoint now);

  QueueSettings Settings;
  std::map<std::uint32_t, Level> Levels;
  std::unordered_map<RequestId, Entry> Entries;
  std::set<std::pair<TimePoint, RequestId>> ByExpiry;
  std::size_t Bytes = 0;
  /// Smoothed cost sent per second while requests were queued.
  double ServedCostPerSecond = 0;
  /// Cost sent since WindowStart, the start of the current measurement window.
  double ServedCostInWindow = 0;
  TimePoint WindowStart;
  TimePoint LastServedAt;
};

} // namespace bergamot::routing

#endif
