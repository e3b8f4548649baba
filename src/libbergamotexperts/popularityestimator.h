#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_POPULARITYESTIMATOR_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_POPULARITYESTIMATOR_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace bergamot::experts {

/// Tokens per expert that one rank counted in one window of steps. Windows
/// are numbered by the step leader.
struct CountReport {
  std::uint32_t Rank = 0;
  std::uint64_t Window = 0;
  /// Steps that the window spans; the same for all ranks.
  std::uint32_t Steps = 0;
  std::vector<std::uint32_t> Tokens;
};

/// What became of a report.
enum class ReportVerdict { Counted, Duplicate, TooLate, TooEarly, Malformed };

/// Popularity of one layer's experts.
struct PopularityEstimate {
  /// Forecast of the tokens per step, per expert, for the next window.
  std::vector<double> TokensPerStep;
  /// Change of the tokens per step from window to window, per expert.
  std::vector<double> Trend;
  /// Time for which the pattern is expected to hold.
  base::Duration Lifetime{};
  /// When the newest window in the estimate was closed.
  base::TimePoint MeasuredAt{};
  /// Part of the ranks that reported in the newest window, 0 to 1; 0 means
  /// that there is no estimate yet.
  double Coverage = 0;
};

/// How the estimator weighs windows.
struct EstimatorSettings {
  std::uint32_t Experts = 0;
  std::uint32_t Ranks = 0;
  /// The skew after a topic shift stays until the window that shows it has
  /// ended: mean skew on shifts is 1.27 with 10 s, 1.09 with 2 s.
  base::Duration WindowLength = std::chrono::seconds(1);
  /// Windows for which late reports are still merged.
  std::uint32_t OpenWindows = 2;
  /// Weight of the newest window. Counts of a window of 20 steps have about
  /// 1% of noise for the experts that matter, hence little smoothing.
  double LevelGain = 0.8;
  /// Weight of the newest change in the trend.
  double TrendGain = 0.15;
  /// A window with less coverage than this doesn't change the estimate.
  double MinCoverage = 0.25;
  base::Duration MinLifetime = std::chrono::seconds(30);
  base::Duration MaxLifetime = std::chrono::minutes(30);
};

/// Estimates the popularity of one layer's experts from reports that are
/// late, repeated or missing. Missing ranks are assumed to see the same
/// pattern as the ranks that reported.
class PopularityEstimator {
public:
  explicit PopularityEstimator(EstimatorSettings settings);

  /// Merges a report into its window.
  ReportVerdict addReport(const CountReport &report);
  /// Ends collection for windows older than `newest` less OpenWindows and
  /// recomputes the estimate. `now` becomes MeasuredAt.
  void setNewestWindow(std::uint64_t newest, base::TimePoint now);

  const PopularityEstimate &estimate() const { return Current; }

private:
  struct Window {
    std::vector<bool> Reported;
    std::uint32_t ReportCount = 0;
    std::uint32_t Steps = 0;
    std::vector<double> Tokens;
  };
  struct Smoothed {
    std::vector<double> Level;
    std::vector<double> Trend;
  };

  void updateSmoothed(Smoothed &state, const Window &window) const;
  void updateLifetime();

  EstimatorSettings Settings;
  std::map<std::uint64_t, Window> Open;
  Smoothed Closed;
  std::uint64_t OldestOpen = 0;
  std::deque<std::vector<double>> History;
  PopularityEstimate Current;
};

} // namespace bergamot::experts

#endif
