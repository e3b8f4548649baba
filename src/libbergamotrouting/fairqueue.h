#ifndef BERGAMOT_LIBBERGAMOTROUTING_FAIRQUEUE_H
#define BERGAMOT_LIBBERGAMOTROUTING_FAIRQUEUE_H

#include "libbergamotrouting/routingtypes.h"

#include <deque>
#include <list>
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
  /// Longest time that a request waits, whatever its deadline.
  Duration LongestWait = std::chrono::seconds(10);
  /// Cost that an account of weight 1 may send per round.
  double Quantum = 1;
};

/// A request that waits. Priority 0 is the most urgent; Bytes is the memory
/// that it holds. Deadline is when its response must be complete and Needed
/// the least time that the response takes after it is sent.
struct QueuedRequest {
  RequestId Request;
  AccountId Account;
  double Weight = 1;
  std::uint32_t Priority = 0;
  double Cost = 1;
  std::size_t Bytes = 0;
  TimePoint Deadline;
  Duration Needed{};
};

/// Result of adding a request. Evicted is a request of another account that
/// had to make room; it has to be refused as QueueFull.
struct QueueVerdict {
  Refusal Reason = Refusal::None;
  Duration RetryAfter{};
  std::optional<RequestId> Evicted;
};

/// Requests that wait at an entry for a target. Urgent priorities go first;
/// within one, weighted deficit round robin runs over the accounts. Requests
/// that can't be sent in time are refused when they arrive.
class FairQueue {
public:
  explicit FairQueue(const QueueSettings &settings);

  /// Adds a request or refuses it at once.
  QueueVerdict add(const QueuedRequest &request, TimePoint now);

  /// Removes and returns the next request to send, if any.
  std::optional<RequestId> removeNext(TimePoint now);

  /// Removes and returns the requests that can no longer be sent in time. Each
  /// gets its final response now.
  std::vector<RequestId> removeExpired(TimePoint now);

  /// Removes a request whose caller has gone. Says whether it was waiting.
  bool remove(const RequestId &request);

  std::size_t size() const { return Entries.size(); }
  std::size_t bytes() const { return Bytes; }

  /// Returns the expected wait of a new request.
  Duration expectedWait(const QueuedRequest &request, TimePoint now) const;

private:
  struct Flow {
    AccountId Account;
    double Weight = 1;
    double Deficit = 0;
    double Cost = 0;
    bool HasTurn = false;
    std::list<QueuedRequest> Waiting;
  };
  struct Level {
    std::list<Flow> Flows;
    std::unordered_map<AccountId, std::list<Flow>::iterator> ByAccount;
    double Cost = 0;
    double Weight = 0;
  };
  struct Entry {
    std::uint32_t Priority = 0;
    std::list<Flow>::iterator Sender;
    std::list<QueuedRequest>::iterator Position;
    TimePoint Expiry;
  };

  void removeEntry(std::unordered_map<RequestId, Entry>::iterator it);
  std::optional<RequestId> makeRoom(const QueuedRequest &request);
  std::list<Flow>::iterator flowOf(Level &level, const QueuedRequest &request);
  /// Adds at once the rounds in which no account could send, so that the cost
  /// of a decision doesn't depend on the ratio of request costs to the quantum.
  void skipRounds(Level &level) const;
  double servedPerSecond(TimePoint now) const;
  void addServed(double cost, TimePoint now);

  QueueSettings Settings;
  std::map<std::uint32_t, Level> Levels;
  std::unordered_map<RequestId, Entry> Entries;
  std::set<std::pair<TimePoint, RequestId>> ByExpiry;
  std::size_t Bytes = 0;
  /// Cost sent per second while requests waited, and the window it is from.
  double ServedPerSecond = 0;
  double ServedInWindow = 0;
  TimePoint WindowStart;
  TimePoint LastServedAt;
};

} // namespace bergamot::routing

#endif
