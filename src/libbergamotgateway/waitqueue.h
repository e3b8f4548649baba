#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_WAITQUEUE_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_WAITQUEUE_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bergamot::gateway {

using base::TimePoint;

/// A request that waits for room at the targets of its service.
struct WaitingRequest {
  std::uint64_t Number = 0;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  TimePoint ArrivedAt;
  /// A request that is sent later can't be served within its objective.
  TimePoint OnTimeUntil;
  /// A request that is sent later is of no use, as its caller leaves.
  TimePoint ExpiresAt;
};

/// The requests of one service that wait at this entry. Those that can still be
/// served in time go before the late ones, then urgent ones first, then those
/// that arrived first. Load pattern: after a power loss or a burst there are
/// more requests than places. Strictly by arrival, the backlog would make all
/// that follows late, too.
class WaitQueue {
public:
  /// A request whose InTimeUntil has passed is late from the start.
  void add(const WaitingRequest &request, TimePoint now);
  void remove(std::uint64_t number);
  /// Returns the request that goes next; null if none waits.
  const WaitingRequest *next() const;
  /// Puts the requests that have become late behind those in time, and returns
  /// them.
  std::vector<WaitingRequest> demoteLate(TimePoint now);
  /// Removes and returns the requests that are of no use any more.
  std::vector<WaitingRequest> takeExpired(TimePoint now);
  std::size_t size() const { return Waiting.size(); }
  std::size_t lateCount() const { return LateCount; }
  std::size_t onTimeCount() const { return Waiting.size() - LateCount; }
  bool isEmpty() const { return Waiting.empty(); }

private:
  struct OrderKey {
    bool IsLate;
    std::uint32_t Priority;
    TimePoint ArrivedAt;
    std::uint64_t Number;
    auto operator<=>(const OrderKey &) const = default;
  };

  std::map<OrderKey, WaitingRequest> Waiting;
  std::map<std::uint64_t, OrderKey> ByNumber;
  std::size_t LateCount = 0;
};

} // namespace bergamot::gateway

#endif
