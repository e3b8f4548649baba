#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_WAITQUEUE_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_WAITQUEUE_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamot::gateway {

using base::TimePoint;

/// A request that waits for room at the targets of its service.
struct WaitingRequest {
  std::uint64_t Number = 0;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  TimePoint ArrivedAt;
  /// The request is rejected if it still waits at this time: what is left
  /// then is too little to be served within its objective.
  TimePoint RejectAt;
  /// The same while all targets of the service stand still, as after a power
  /// loss: the wait is for their return then, not for room.
  TimePoint RejectAtStandstill;
};

/// The requests of one service that wait at this entry. Urgent ones go first,
/// then those that arrived first.
class WaitQueue {
public:
  void add(const WaitingRequest &request);
  void remove(std::uint64_t number);
  /// Returns the request that goes next; null if none waits.
  const WaitingRequest *next() const;
  /// Removes and returns the requests that have waited too long. `standstill`
  /// says that no target of the service makes progress.
  std::vector<WaitingRequest> takeExpired(TimePoint now,
                                          bool standstill = false);
  /// Returns how many requests would go before one of this priority.
  std::size_t countBefore(std::uint32_t priority) const;
  std::size_t size() const { return Waiting.size(); }
  bool isEmpty() const { return Waiting.empty(); }

private:
  struct Rank {
    std::uint32_t Priority;
    TimePoint ArrivedAt;
    std::uint64_t Number;
    auto operator<=>(const Rank &) const = default;
  };

  std::map<Rank, WaitingRequest> Waiting;
  std::map<std::uint64_t, Rank> ByNumber;
};

} // namespace bergamot::gateway

#endif
