#ifndef BERGAMOT_LIBBERGAMOTROUTING_ATTEMPTTABLE_H
#define BERGAMOT_LIBBERGAMOTROUTING_ATTEMPTTABLE_H

#include "libbergamotrouting/routingtypes.h"

#include <deque>
#include <unordered_map>

namespace bergamot::routing {

/// Remembers which attempts were decided, so that a repeated or late Dispatch
/// is recognised. Refused attempts are remembered too: admitting a repeat of
/// one would make the refusal untrue. Memory is bounded by a capacity.
class AttemptTable {
public:
  /// Result of adding an attempt.
  enum class Added { New, Known, Full };

  /// Attempts are kept for at least retention after their last use.
  AttemptTable(std::size_t capacity, Duration retention);

  /// Adds an attempt. It is known if the same or a later attempt of the
  /// request has been added within the retention.
  Added add(const AttemptKey &key, TimePoint now);

  /// Keeps the request until as many calls of setInactive have followed.
  void setActive(const RequestId &request);

  /// Keeps the request for the retention from now on.
  void setInactive(const RequestId &request, TimePoint now);

  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    AttemptNumber Highest;
    TimePoint Expiry;
    std::uint32_t ActiveCount = 0;
  };

  void setExpiry(const RequestId &request, Entry &entry, TimePoint now);
  void removeExpired(TimePoint now);

  std::size_t Capacity;
  Duration Retention;
  std::unordered_map<RequestId, Entry> Entries;
  std::deque<std::pair<TimePoint, RequestId>> ByExpiry;
};

} // namespace bergamot::routing

#endif
