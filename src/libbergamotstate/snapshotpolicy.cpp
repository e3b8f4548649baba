#include "libbergamotstate/snapshotpolicy.h"

#include "libbergamotbase/digest.h"

#include <algorithm>
#include <utility>

namespace bergamot::state {

SnapshotPolicy::SnapshotPolicy(base::VmId self, SnapshotSettings settings)
    : Self(std::move(self)), Settings(settings) {}

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
  std::int64_t position = 0;
  for (const auto &it : daemons)
    position += score(it) > ownScore;
  // If the snapshot was already overdue when it was seen, delays count from
  // that time, so that daemons that start together don't all append at once.
  const auto start = std::max(SeenAt, StoredAt + Settings.Retention *
                                                     Settings.DuePercent / 100);
  const auto remaining = std::max(StoredAt + Settings.Retention - start,
                                  std::chrono::milliseconds(0));
  const auto count = static_cast<std::int64_t>(daemons.size()) + 1;
  return start +
         std::min(Settings.PositionDelay, remaining / 2 / count) * position;
}

bool SnapshotPolicy::takeDue(const std::vector<base::VmId> &daemons,
                             base::WallTime now) {
  const auto due = dueAt(daemons);
  if (!due || now < *due || now < NotBefore)
    return false;
  NotBefore = now + Settings.PositionDelay *
                        (static_cast<std::int64_t>(daemons.size()) + 1);
  return true;
}

} // namespace bergamot::state
