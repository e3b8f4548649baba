#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_LEAVINGTARGETS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_LEAVINGTARGETS_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamot::gateway {

/// The targets that have said in a response that they are leaving. Load
/// pattern: targets are emptied while the store can't be read, so their records
/// don't show it. Such a target gets no new work, whatever its record says,
/// until a record shows that it has started again.
class LeavingTargets {
public:
  /// Takes a target's own statement. `startedAtMs` is the start that its record
  /// shows, in Unix milliseconds.
  void add(const std::string &target, std::int64_t startedAtMs,
           base::TimePoint now);
  /// Returns whether the target with this start has said that it is leaving.
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
