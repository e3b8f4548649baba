#ifndef BERGAMOT_LIBBERGAMOTROUTING_WARMUPRAMP_H
#define BERGAMOT_LIBBERGAMOTROUTING_WARMUPRAMP_H

#include "libbergamotrouting/routingtypes.h"

namespace bergamot::routing {

/// Settings of a WarmupRamp. Limits are in concurrent requests.
struct WarmupSettings {
  std::uint32_t ColdLimit = 2;
  std::uint32_t FullLimit = 64;
  /// Slots added to the limit per response that is in time. At 0.5, the limit
  /// doubles within two service times under full load.
  double SlotsPerResponse = 0.5;
  Duration MaxTimeToFirstToken = std::chrono::milliseconds(1800);
  /// The ramp is reset after this many consecutive responses whose first token
  /// came later than MaxTimeToFirstToken. A single late one can come from a
  /// long prompt.
  std::uint32_t SlowThreshold = 2;
};

/// Effect of an event on the limit.
enum class RampChange {
  None,
  Grown,
  NewIncarnation,
  ColdReported,
  SlowFirstTokens
};

/// Limits the concurrent requests of a back end that has just started. The
/// limit grows only with responses completed in time, never with elapsed time
/// alone.
class WarmupRamp {
public:
  explicit WarmupRamp(const WarmupSettings &settings);

  /// Applies a load report. Resets to the cold limit if the back end is cold or
  /// has a new incarnation. Reports of an older incarnation are ignored.
  RampChange addReport(const LoadReport &report);

  /// Applies a response. epoch is the value of epoch() when the request was
  /// admitted; responses of an earlier epoch are ignored. admittedWhenBusy says
  /// that at least half of the limit was in use when the request was admitted:
  /// responses under light load don't show that a higher limit is safe.
  RampChange addResponse(std::uint64_t epoch, Duration timeToFirstToken,
                         bool inTime, bool admittedWhenBusy);

  /// Returns the current limit in concurrent requests.
  std::uint32_t limit() const { return static_cast<std::uint32_t>(Limit); }

  /// Returns the epoch, which increases with each reset to the cold limit.
  std::uint64_t epoch() const { return Epoch; }

  /// Returns whether the full limit has been reached.
  bool isWarm() const { return limit() >= Settings.FullLimit; }

private:
  void reset();

  WarmupSettings Settings;
  double Limit;
  std::uint64_t Epoch = 1;
  std::uint32_t ConsecutiveSlow = 0;
  Incarnation BackEndIncarnation;
};

} // namespace bergamot::routing

#endif
