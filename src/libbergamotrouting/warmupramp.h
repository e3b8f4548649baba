#ifndef BERGAMOT_LIBBERGAMOTROUTING_WARMUPRAMP_H
#define BERGAMOT_LIBBERGAMOTROUTING_WARMUPRAMP_H

#include "libbergamotrouting/routingtypes.h"

namespace bergamot::routing {

/// Settings of a WarmupRamp. Limits are concurrent requests.
struct WarmupSettings {
  std::uint32_t ColdLimit = 2;
  std::uint32_t FullLimit = 64;
  /// Slots gained per response in time. At 0.5, the limit doubles within two
  /// service times under full load.
  double GrowthPerResponse = 0.5;
  Duration FirstTokenBound = std::chrono::milliseconds(1800);
  /// Consecutive first tokens past the bound that end the warm state. One
  /// alone can come from a single long prompt.
  std::uint32_t SlowCount = 2;
};

/// What an event did to the limit.
enum class RampChange { None, Grown, NewIncarnation, ColdReported, SlowTokens };

/// Limits the concurrent requests of a back end that has just started. The
/// limit grows only with responses completed in time, never with the clock.
class WarmupRamp {
public:
  explicit WarmupRamp(const WarmupSettings &settings);

  /// Takes a load report. Returns to the cold limit if the back end is cold or
  /// has a new incarnation; a report of an older incarnation changes nothing.
  RampChange addReport(const LoadReport &report);

  /// Takes a response. epoch is the value of epoch() when the request was
  /// admitted; responses of an earlier epoch change nothing. busy says that
  /// at least half of the limit was in use when the request was admitted:
  /// responses under light load don't show that a higher limit is safe.
  RampChange addResponse(std::uint64_t epoch, Duration firstToken, bool inTime,
                         bool busy);

  /// Returns the present limit in concurrent requests.
  std::uint32_t limit() const { return static_cast<std::uint32_t>(Limit); }

  /// Returns the number of returns to the cold limit so far.
  std::uint64_t epoch() const { return Epoch; }

  /// Says whether the full limit has been reached.
  bool isWarm() const { return limit() >= Settings.FullLimit; }

private:
  void restart();

  WarmupSettings Settings;
  double Limit;
  std::uint64_t Epoch = 1;
  std::uint32_t SlowInRow = 0;
  Incarnation BackEnd;
};

} // namespace bergamot::routing

#endif
