#ifndef BERGAMOT_LIBBERGAMOTSTATE_SNAPSHOTPOLICY_H
#define BERGAMOT_LIBBERGAMOTSTATE_SNAPSHOTPOLICY_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <optional>
#include <vector>

namespace bergamot::state {

/// Settings of a SnapshotPolicy.
struct SnapshotSettings {
  std::chrono::milliseconds Retention = std::chrono::hours(48);
  /// Age at which a snapshot is due, as a percentage of the retention.
  int DuePercent = 50;
  /// Delay per position in the order of daemons, which gives the daemons before
  /// this one time to append first. Reduced if the delays of all positions
  /// would exceed half of the remaining time.
  std::chrono::milliseconds PositionDelay = std::chrono::seconds(30);
};

/// Decides when this daemon appends a new snapshot of the configuration, so
/// that the log always contains one. Daemons are ordered by rendezvous hashing
/// over their ids and the offset of the last snapshot, so the order differs for
/// each snapshot. The daemon at position n, counted from 0, waits n delays
/// after the snapshot is due. So usually one daemon appends, and the next
/// daemon does if that one can't. Two snapshots do no harm. A daemon need not
/// retry a failed append immediately, since the next daemon appends.
class SnapshotPolicy {
public:
  explicit SnapshotPolicy(base::VmId self, SnapshotSettings settings = {});

  /// Records a snapshot that was found in the stream `config`. `now` is the
  /// current wall-clock time.
  void setSnapshot(base::LogOffset offset, base::WallTime storedAt,
                   base::WallTime now);

  /// Returns when this daemon appends, given the daemons that it considers
  /// alive. Times are those of the log, as estimated by the daemon's wall
  /// clock. Returns nullopt if no snapshot was seen: the first is due with the
  /// first accepted configuration.
  std::optional<base::WallTime>
  dueAt(const std::vector<base::VmId> &daemons) const;

  /// Returns whether to append now. After it has returned true and if no new
  /// snapshot follows, it returns true again after (number of daemons + 1)
  /// delays.
  bool takeDue(const std::vector<base::VmId> &daemons, base::WallTime now);

private:
  base::VmId Self;
  SnapshotSettings Settings;
  std::optional<base::LogOffset> Offset;
  base::WallTime StoredAt;
  base::WallTime SeenAt;
  base::WallTime NotBefore = base::WallTime::min();
};

} // namespace bergamot::state

#endif
