#ifndef BERGAMOT_LIBBERGAMOTROUTING_ATTEMPTTABLE_H
#define BERGAMOT_LIBBERGAMOTROUTING_ATTEMPTTABLE_H

#include "libbergamotrouting/routingtypes.h"

#include <deque>
#include <unordered_map>

namespace bergamot::routing {

/// Records the attempts that were admitted or refused, to detect duplicate and
/// late Dispatches. Refused attempts are recorded too: admitting a duplicate of
/// one would falsify the refusal. The capacity bounds the memory.
class AttemptTable {
public:
  /// Result of add().
  enum class AddResult { New, Known, Full };

  /// Attempts are kept for at least the retention time after their last use.
  AttemptTable(std::size_t capacity, Duration retention);

  /// Adds an attempt. The result is Known if the same or a later attempt of the
  /// request was added within the retention time.
  AddResult add(const AttemptKey &key, TimePoint now);

  /// Keeps the request until removeActive() has been called as often as
  /// addActive().
  void addActive(const RequestId &request);

  /// Ends one addActive(). The request is kept for the retention time from now.
  void removeActive(const RequestId &request, TimePoint now);

  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    AttemptNumber HighestAttempt;
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
