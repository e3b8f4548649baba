#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_DRAININGTARGETS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_DRAININGTARGETS_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamot::gateway {

/// The targets that have announced in a response that they are draining. Their
/// records don't show this if the store was unavailable when they began to
/// drain. A draining target gets no new work, whatever its record says, until a
/// record shows that it has restarted.
class DrainingTargets {
public:
  /// Records a target's announcement. `startedAtMs` is the start time in its
  /// record, in Unix milliseconds.
  void add(const std::string &target, std::int64_t startedAtMs,
           base::TimePoint now);
  /// Returns whether the target with this start time has announced that it is
  /// draining.
  bool contains(const std::string &target, std::int64_t startedAtMs) const;
  std::size_t size() const { return ByTarget.size(); }

private:
  struct Announcement {
    std::int64_t StartedAtMs = 0;
    /// The announcement is forgotten after this time, by which the target has
    /// exited.
    base::TimePoint ExpiresAt;
  };

  std::map<std::string, Announcement> ByTarget;
};

} // namespace bergamot::gateway

#endif
