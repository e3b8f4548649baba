#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_WAITQUEUE_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_WAITQUEUE_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bergamot::gateway {

using base::TimePoint;

/// A request that waits for a free slot at a target of its service.
struct WaitingRequest {
  /// Identifies the request within this entry.
  std::uint64_t SequenceNumber = 0;
  /// 0 is the highest priority.
  std::uint32_t Priority = 0;
  TimePoint ArrivedAt;
  /// A request sent after this time can't meet its latency objective.
  TimePoint OnTimeUntil;
  /// Latest time at which the request can be sent so that its response begins
  /// before the caller disconnects.
  TimePoint ExpiresAt;
};

/// The waiting requests of one service at this entry. Requests that can still
/// be served on time come before late ones; each class is ordered by priority
/// and then by arrival. After a power loss or a burst there are more
/// requests than slots, and in strict order of arrival the backlog would make
/// all later requests late, too.
class WaitQueue {
public:
  /// Adds a request; it is late from the start if its OnTimeUntil has passed.
  void add(const WaitingRequest &request, TimePoint now);
  void remove(std::uint64_t sequenceNumber);
  /// Returns the next request to send, or null if the queue is empty.
  const WaitingRequest *next() const;
  /// Moves requests that have become late behind the on-time ones and returns
  /// copies of them; they stay queued.
  std::vector<WaitingRequest> demoteLate(TimePoint now);
  /// Removes and returns the requests that have passed their ExpiresAt.
  std::vector<WaitingRequest> takeExpired(TimePoint now);
  /// Returns the number of on-time requests by priority.
  std::map<std::uint32_t, std::uint32_t> onTimeCounts() const;
  std::size_t size() const { return Waiting.size(); }
  std::size_t lateCount() const { return LateCount; }
  std::size_t onTimeCount() const { return Waiting.size() - LateCount; }
  bool isEmpty() const { return Waiting.empty(); }

private:
  struct OrderKey {
    bool IsLate;
    std::uint32_t Priority;
    TimePoint ArrivedAt;
    std::uint64_t SequenceNumber;
    auto operator<=>(const OrderKey &) const = default;
  };

  std::map<OrderKey, WaitingRequest> Waiting;
  std::map<std::uint64_t, OrderKey> BySequenceNumber;
  std::size_t LateCount = 0;
};

} // namespace bergamot::gateway

#endif
