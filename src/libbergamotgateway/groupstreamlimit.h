#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_GROUPSTREAMLIMIT_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_GROUPSTREAMLIMIT_H

#include "libbergamotgateway/routetable.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace bergamot::gateway {

/// Limits the concurrent streams of each expert group by the skew that the
/// gaps between events show, that is, by the ratio of the highest to the mean
/// load of the group's ranks. The ranks run in lockstep, so each gap is as long
/// as a pass of the group.
///
/// The popularity of experts shifts every few seconds, which multiplies the
/// skew for less than half a second. Running streams can't be preempted. A
/// limit that suits the skew between shifts makes most streams late, and
/// lowering it during a shift has no effect on the streams already running. The
/// highest skew of the last shifts doesn't predict that of the next one either:
/// after some mild shifts, the next strong one makes the streams late. However,
/// the times of shifts can be predicted. Therefore, the limit is
/// - the highest one for the present skew in the time after a shift,
/// - lowered to the fallback, which the engine sustains during a shift, early
///   enough that the streams above it end before the next shift,
/// - lower than the fallback while the present skew requires it.
///
/// A shift is expected after the shortest of the last intervals between shifts.
/// Until it is seen, or while the intervals are unknown, the limit remains at
/// the fallback. Without a shift for a longer time, none is expected, and the
/// limit is between the fallback and the highest one for the present skew.
class GroupStreamLimit {
public:
  /// Records the time between two events of one stream of a group.
  /// `streamsPerRank` is the mean number of streams per rank in that time. Gaps
  /// that no pass explains are ignored, such as those of a stalled rank or of
  /// events that arrive together.
  void recordGap(const std::string &group, const EngineProfile &engine,
                 base::Duration gap, double streamsPerRank,
                 base::TimePoint now);
  /// Returns the limit on the mean number of streams per rank of a group.
  /// `fallback` is the limit that holds during shifts (see
  /// maxConcurrentStreams). It is returned without recent gaps.
  std::uint32_t limit(const std::string &group, const EngineProfile &engine,
                      std::chrono::milliseconds eventGapObjective,
                      std::uint32_t fallback, base::TimePoint now) const;

private:
  /// Skew above which gaps aren't distinguished; higher than any measured one
  /// (3.7).
  static constexpr double MaxSkew = 4;
  /// Number of shifts whose starts are remembered.
  static constexpr std::size_t MaxShifts = 4;

  /// The skews that the gaps of one pass show.
  struct PassSkews {
    double Lowest = MaxSkew;
    double SecondLowest = MaxSkew;
    std::uint32_t Count = 0;

    void add(double skew);
    /// Returns the second lowest skew of three or more, because the gap after a
    /// late event is too short; otherwise the lowest.
    double value() const;
  };
  struct State {
    /// The last shift or the first gap, moved later by times without gaps, in
    /// which a shift may have remained unnoticed.
    base::TimePoint EvenSince;
    base::TimePoint LastGapAt;
    /// When the first gap of the latest pass was recorded.
    base::TimePoint LastPassAt;
    PassSkews LatestPass;
    double PreviousPassSkew = MaxSkew;
    /// Follows the skew of the passes; rises at once and falls slowly.
    double PresentSkew = 1;
    bool IsShifted = false;
    /// The starts of the last shifts; the one with number i is at index i
    /// modulo MaxShifts.
    std::array<base::TimePoint, MaxShifts> ShiftStarts{};
    std::size_t ShiftCount = 0;

    /// Returns the skew of the last two passes without the work that only one
    /// of them contained.
    double steadySkew() const;
    void endPass(base::TimePoint now);
    void recordShift(base::TimePoint startedAt);
    base::TimePoint lastShiftAt() const;
    /// Returns when the next shift may start; std::nullopt if unknown,
    /// TimePoint::max() if none is expected.
    std::optional<base::TimePoint> nextShiftAt(base::TimePoint now) const;
  };

  std::unordered_map<std::string, State> ByGroup;
};

} // namespace bergamot::gateway

#endif
