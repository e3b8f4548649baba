#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_TARGETBACKOFFS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_TARGETBACKOFFS_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamot::gateway {

/// The targets that have turned a request away and asked this entry to stay
/// away for a time. Load pattern: a target whose queue is full refuses, and
/// each further request costs it and the caller a round trip for nothing.
class TargetBackoffs {
public:
  /// Takes a target's wish. An earlier wish that lasts longer holds on.
  /// `startedAtMs` is the start that its record shows, in Unix milliseconds: a
  /// target that has started again knows nothing of it.
  void setBackoff(const std::string &target, std::int64_t startedAtMs,
                  base::TimePoint until, base::TimePoint now);
  /// Returns when the target may get requests again; `now` or earlier if it
  /// may already.
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
