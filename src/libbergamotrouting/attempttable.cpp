#include "libbergamotrouting/attempttable.h"

namespace bergamot::routing {

AttemptTable::AttemptTable(std::size_t capacity, Duration retention)
    : Capacity(capacity), Retention(retention) {}

AttemptTable::AddResult AttemptTable::add(const AttemptKey &key,
                                          TimePoint now) {
  removeExpired(now);
  const auto it = Entries.find(key.Request);
  if (it != Entries.end() && key.Attempt <= it->second.HighestAttempt)
    return AddResult::DuplicateOrSuperseded;
  // Later attempts of a known request only lengthen the queue, so both sizes
  // are bounded.
  if (Entries.size() >= Capacity || ByExpiry.size() >= 2 * Capacity)
    return AddResult::Full;
  Entry &entry = Entries[key.Request];
  entry.HighestAttempt = key.Attempt;
  setExpiry(key.Request, entry, now);
  return AddResult::New;
}

void AttemptTable::pin(const RequestId &request) {
  const auto it = Entries.find(request);
  if (it != Entries.end())
    ++it->second.PinCount;
}

void AttemptTable::unpin(const RequestId &request, TimePoint now) {
  const auto it = Entries.find(request);
  if (it == Entries.end() || it->second.PinCount == 0)
    return;
  --it->second.PinCount;
  setExpiry(request, it->second, now);
}

void AttemptTable::setExpiry(const RequestId &request, Entry &entry,
                             TimePoint now) {
  entry.Expiry = now + Retention;
  ByExpiry.emplace_back(entry.Expiry, request);
}

void AttemptTable::removeExpired(TimePoint now) {
  while (!ByExpiry.empty() && ByExpiry.front().first <= now) {
    const auto it = Entries.find(ByExpiry.front().second);
    if (it != Entries.end() && it->second.PinCount == 0 &&
        it->second.Expiry <= now)
      Entries.erase(it);
    ByExpiry.pop_front();
  }
}

} // namespace bergamot::routing
