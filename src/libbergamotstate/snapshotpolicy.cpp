#include "libbergamotstate/snapshotpolicy.h"

#include "libbergamotbase/digest.h"

#include <algorithm>
#include <utility>

namespace bergamot::state {

SnapshotPolicy::SnapshotPolicy(base::VmId self, SnapshotLimits limits)
    : Self(std::move(self)), Limits(limits) {}

void SnapshotPolicy::setSnapshot(base::LogOffset offset,
                                 base::WallTime storedAt, base::WallTime now) {
  if (Offset && offset <= *Offset)
    return;
  Offset = offset;
  StoredAt = storedAt;
  SeenAt = now;
  NotBefore = base::WallTime::min();
}

std::optional<base::WallTime>
SnapshotPolicy::dueAt(const std::vector<base::VmId> &daemons) const {
  if (!Offset)
    return std::nullopt;
  const auto score = [&](const base::VmId &vm) {
    return std::pair(base::xxHash64(vm.Value, Offset->Value), vm);
  };
  const auto ownScore = score(Self);
  std::int64_t rank = 0;
  for (const auto &it : daemons)
    rank += score(it) > ownScore;
  // If the snapshot was already overdue when it was seen, delays count from
  // that time, so that daemons that start together don't all append at once.
  const auto start =
      std::max(SeenAt, StoredAt + Limits.Retention * Limits.DuePercent / 100);
  const auto remaining = std::max(StoredAt + Limits.Retention - start,
                                  std::chrono::milliseconds(0));
  const auto count = static_cast<std::int64_t>(daemons.size()) + 1;
  return start + std::min(Limits.RankDelay, remaining / 2 / count) * rank;
}

bool SnapshotPolicy::takeDue(const std::vector<base::VmId> &daemons,
                             base::WallTime now) {
  const auto due = dueAt(daemons);
  if (!due || now < *due || now < NotBefore)
    return false;
  NotBefore =
      now + Limits.RankDelay * (static_cast<std::int64_t>(daemons.size()) + 1);
  return true;
}

} // namespace bergamot::state
