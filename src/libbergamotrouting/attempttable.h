#ifndef BERGAMOT_LIBBERGAMOTROUTING_ATTEMPTTABLE_H
#define BERGAMOT_LIBBERGAMOTROUTING_ATTEMPTTABLE_H

#include "libbergamotrouting/routingtypes.h"

#include <deque>
#include <unordered_map>

namespace bergamot::routing {

/// Records the attempts that were admitted or refused, to detect duplicate and
/// late Dispatch messages, which send a request to the target. Refused attempts
/// are recorded too: the refusal said "not executed", so a duplicate must not
/// be executed later. The capacity bounds the memory.
class AttemptTable {
public:
  /// Result of add().
  enum class AddResult { New, DuplicateOrSuperseded, Full };

  /// A request without pins expires when the retention time has passed since
  /// its last attempt was added or its last pin was removed.
  AttemptTable(std::size_t capacity, Duration retention);

  /// Adds an attempt. The result is DuplicateOrSuperseded if the same or a
  /// later attempt of the request was added within the retention time.
  AddResult add(const AttemptKey &key, TimePoint now);

  /// Adds a pin to a request. Requests with pins don't expire.
  void pin(const RequestId &request);

  /// Removes one pin. The request is kept for at least the retention time from
  /// now.
  void unpin(const RequestId &request, TimePoint now);

  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    AttemptNumber HighestAttempt;
    TimePoint Expiry;
    std::uint32_t PinCount = 0;
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
