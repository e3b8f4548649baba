#ifndef BERGAMOT_LIBBERGAMOTROUTING_ROUTINGTYPES_H
#define BERGAMOT_LIBBERGAMOTROUTING_ROUTINGTYPES_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/requestidempotency.h"
#include "libbergamotbase/timetypes.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace bergamot::routing {

using base::AccountId;
using base::AttemptNumber;
using base::Duration;
using base::FailureDomainId;
using base::Incarnation;
using base::RequestId;
using base::RequestIdempotency;
using base::ServiceId;
using base::TargetId;
using base::TimePoint;
using base::VmId;

/// Identifies a grant within one incarnation of a target daemon, the process
/// that admits requests to a target's back end and reports its load.
using GrantId = base::StrongId<std::uint64_t, struct GrantIdTag>;

/// Whether the back end, the server behind a target daemon (an engine or a
/// plain service), executed a request.
enum class Executed { No, Yes, Unknown };

/// Why a request was refused.
enum class Refusal {
  None,
  Duplicate,
  AttemptTableFull,
  Draining,
  DomainRemoved,
  NotReady,
  DeadlinePassed,
  TooLarge,
  NoSlots,
  NoUnits,
  PriorityTooLow,
  AccountShareExceeded,
  RateLimit,
  ConcurrencyLimit,
  QueueFull,
  WaitTooLong,
  NoTarget,
};

/// Returns the name of a refusal as it appears in logs and problem documents.
const char *refusalName(Refusal reason);

/// One attempt of one request.
struct AttemptKey {
  RequestId Request;
  AttemptNumber Attempt;
  auto operator<=>(const AttemptKey &) const = default;
};

/// Permission from a target for an entry to send requests until Expiry. Units
/// are KV cache tokens for a model and bytes for a plain service.
struct Grant {
  GrantId Id;
  std::uint32_t Slots = 0;
  std::uint64_t Units = 0;
  TimePoint Expiry;
};

/// State reported by a back end. The state is not older than ReadAt; work
/// admitted after ReadAt may be missing.
struct LoadReport {
  Incarnation BackEndIncarnation;
  std::uint32_t Running = 0;
  std::uint64_t UnitsUsed = 0;
  std::uint64_t UnitsTotal = 0;
  bool Cold = false;
  TimePoint ReadAt;
};

inline double toSeconds(Duration interval) {
  return std::chrono::duration<double>(interval).count();
}

inline Duration fromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

} // namespace bergamot::routing

template <> struct std::hash<bergamot::routing::AttemptKey> {
  std::size_t operator()(const bergamot::routing::AttemptKey &key) const {
    return std::hash<bergamot::base::RequestId>()(key.Request) * 31 +
           key.Attempt.Value;
  }
};

#endif
