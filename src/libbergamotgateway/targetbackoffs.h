#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETBACKOFFS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETBACKOFFS_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamot::gateway {

/// The targets that have refused a request and asked this entry to back off. A
/// target whose queue is full refuses requests, and each further request costs
/// the target and the caller a round trip for nothing.
class TargetBackoffs {
public:
  /// Records a target's request to back off until `until`. An earlier back-off
  /// that ends later stays in effect. `startedAtMs` is the start time in the
  /// target's record, in Unix milliseconds; a restart of the target clears its
  /// back-off.
  void setBackoff(const std::string &target, std::int64_t startedAtMs,
                  base::TimePoint until, base::TimePoint now);
  /// Returns when the target may get requests again, which is in the past if it
  /// may get them now.
  base::TimePoint backoffUntil(const std::string &target,
                               std::int64_t startedAtMs) const;

private:
  struct Backoff {
    std::int64_t StartedAtMs = 0;
    base::TimePoint Until;
  };

  std::map<std::string, Backoff> ByTarget;
};

} // namespace bergamot::gateway

#endif
