#ifndef BERGAMOT_LIBBERGAMOTSTATE_SNAPSHOTPOLICY_H
#define BERGAMOT_LIBBERGAMOTSTATE_SNAPSHOTPOLICY_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <optional>
#include <vector>

namespace bergamot::state {

/// Timing parameters of a SnapshotPolicy.
struct SnapshotSettings {
  std::chrono::milliseconds Retention = std::chrono::hours(48);
  /// Age at which a snapshot is due, as a percentage of the retention.
  int DuePercent = 50;
  /// Delay per rank, which gives daemons of better rank time to append first.
  /// Reduced if the delays of all ranks would exceed half of the remaining
  /// time.
  std::chrono::milliseconds PositionDelay = std::chrono::seconds(30);
};

/// Decides when this daemon appends a new snapshot of the configuration, so
/// that one is always younger than the log's retention. Daemons are ranked by
/// rendezvous hashing over their ids and the offset of the last snapshot, so
/// the order differs for each snapshot. The daemon of rank n waits n delays
/// after the snapshot is due. So usually one daemon appends, and another does
/// if that one can't. Two snapshots do no harm. A daemon need not retry its
/// failed append.
class SnapshotPolicy {
public:
  explicit SnapshotPolicy(base::VmId self, SnapshotSettings settings = {});

  /// Records a snapshot that is seen in the stream `config` now.
  void setSnapshot(base::LogOffset offset, base::WallTime storedAt,
                   base::WallTime now);

  /// Returns when this daemon appends, given the daemons that it considers
  /// alive. Times are those of the log, as estimated by the daemon's wall
  /// clock. Returns nullopt if no snapshot was seen: the first is due with the
  /// first accepted configuration.
  std::optional<base::WallTime>
  dueAt(const std::vector<base::VmId> &daemons) const;

  /// Returns whether to append now. Returns true once per due time. If no new
  /// snapshot follows, it returns true again after a delay for each daemon and
  /// one more.
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
