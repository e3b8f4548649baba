#ifndef BERGAMOT_LIBBERGAMOTSTATE_SNAPSHOTPOLICY_H
#define BERGAMOT_LIBBERGAMOTSTATE_SNAPSHOTPOLICY_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <optional>
#include <vector>

namespace bergamot::state {

/// Times of a SnapshotPolicy.
struct SnapshotLimits {
  std::chrono::milliseconds Retention = std::chrono::hours(48);
  /// Age at which a snapshot is due, as a share of the retention.
  int DuePercent = 50;
  /// How long each daemon leaves the work to the ones ranked before it. Less
  /// if the ranks would otherwise take more than half of the time that is left.
  std::chrono::milliseconds RankDelay = std::chrono::seconds(30);
};

/// Decides when this daemon appends a new snapshot of the configuration, so
/// that one is always younger than the log's retention. Rendezvous hashing
/// over the daemons and the last snapshot's offset ranks the daemons, anew for
/// each snapshot; rank n waits n steps after the snapshot is due. So usually
/// one daemon appends, and another does if it can't. Two snapshots do no harm.
/// A failed append needs no repetition by the same daemon.
class SnapshotPolicy {
public:
  explicit SnapshotPolicy(base::VmId self, SnapshotLimits limits = {});

  /// Takes a snapshot that is seen in the stream `config` now.
  void setSnapshot(base::LogOffset offset, base::WallTime storedAt,
                   base::WallTime now);

  /// Returns when this daemon appends, given the daemons that it believes are
  /// alive. Times are the log's, as the daemon's wall clock estimates them.
  /// Nothing if no snapshot was seen: the first is due with the first accepted
  /// configuration.
  std::optional<base::WallTime>
  dueAt(const std::vector<base::VmId> &daemons) const;

  /// Returns whether to append now. Returns true once per due time; if no new
  /// snapshot follows, it is true again after as many steps as there are
  /// daemons, and one more.
  bool takeDue(const std::vector<base::VmId> &daemons, base::WallTime now);

private:
  base::VmId Self;
  SnapshotLimits Limits;
  std::optional<base::LogOffset> Offset;
  base::WallTime StoredAt;
  base::WallTime SeenAt;
  base::WallTime NotBefore = base::WallTime::min();
};

} // namespace bergamot::state

#endif
