#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_LEAVINGTARGETS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_LEAVINGTARGETS_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamot::gateway {

/// The targets that have announced in a response that they are leaving. Targets
/// may be drained while the store can't be read, in which case their records
/// don't show it. A leaving target gets no new work, whatever its record says,
/// until a record shows that it has restarted.
class LeavingTargets {
public:
  /// Records a target's announcement. `startedAtMs` is the start time in its
  /// record, in Unix milliseconds.
  void add(const std::string &target, std::int64_t startedAtMs,
           base::TimePoint now);
  /// Returns whether the target with this start time has announced that it is
  /// leaving.
  bool contains(const std::string &target, std::int64_t startedAtMs) const;
  std::size_t size() const { return ByTarget.size(); }

private:
  struct Announcement {
    std::int64_t StartedAtMs = 0;
    base::TimePoint ExpiresAt;
  };

  std::map<std::string, Announcement> ByTarget;
};

} // namespace bergamot::gateway

#endif
