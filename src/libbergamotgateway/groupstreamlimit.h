#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_GROUPSTREAMLIMIT_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_GROUPSTREAMLIMIT_H

#include "libbergamotgateway/routetable.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace bergamot::gateway {

/// Limits the concurrent streams of each expert group by the skew that the
/// gaps between events show, that is, by the ratio of the highest to the mean
/// load of the group's ranks. The ranks run in lockstep, so each gap is as long
/// as a pass of the group.
///
/// This answers demand above what the limit for the worst skew serves. The
/// popularity of experts shifts every few seconds, which multiplies the skew
/// until the next expert map, for less than half a second. Prompts that are
/// prefilled in these passes make all running streams of the group late, so the
/// limit falls to that for the worst skew until the skew is low again.
///
/// While passes are short, a quarter of the raise above the limit for the worst
/// skew is used: shifts can't be foreseen, and the streams that are started
/// before one still run in it.
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
  /// `fallback` is the limit for the worst skew (see maxConcurrentStreams). It
  /// is returned without recent gaps.
  std::uint32_t limit(const std::string &group, const EngineProfile &engine,
                      std::chrono::milliseconds eventGapObjective,
                      std::uint32_t fallback, base::TimePoint now) const;
  /// Returns the number of groups whose gaps are remembered. Groups without
  /// gaps for a minute are evicted when another group is added.
  std::size_t groupCount() const { return ByGroup.size(); }

private:
  /// Skew above which gaps aren't distinguished; higher than any measured one
  /// (3.7).
  static constexpr double MaxSkew = 4;
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
    /// When the gaps no longer show the present skew.
    base::TimePoint GapsExpireAt;
    /// When the first gap of the latest pass was recorded.
    base::TimePoint LastPassAt;
    PassSkews LatestPass;
    double PreviousPassSkew = MaxSkew;
    /// Follows the skew of the passes; rises at once and falls slowly.
    double PresentSkew = 1;

    /// Returns the skew of the last two passes without the work that only one
    /// of them contained.
    double steadySkew() const;
    void endPass(base::TimePoint now);
  };

  void evictIdleGroups(base::TimePoint now);

  std::unordered_map<std::string, State> ByGroup;
};

} // namespace bergamot::gateway

#endif
