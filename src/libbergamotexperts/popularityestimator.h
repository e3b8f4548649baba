#ifndef BERGAMOT_LIBBERGAMOTEXPERTS_POPULARITYESTIMATOR_H
#define BERGAMOT_LIBBERGAMOTEXPERTS_POPULARITYESTIMATOR_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace bergamot::experts {

/// Tokens per expert that one rank counted in one window of steps. Windows are
/// numbered by the step leader.
struct CountReport {
  std::uint32_t Rank = 0;
  std::uint64_t Window = 0;
  /// Steps in the window; the same for all ranks.
  std::uint32_t Steps = 0;
  std::vector<std::uint32_t> Tokens;
};

/// Result of adding a report. A report is TooEarly if its window is too far
/// ahead of the newest one; this bounds the memory that corrupted window
/// numbers cost.
enum class ReportVerdict { Counted, Duplicate, TooLate, TooEarly, Malformed };

/// Popularity of one layer's experts.
struct PopularityEstimate {
  /// Forecast tokens per step and expert for the next window.
  std::vector<double> TokensPerStep;
  /// Change of the tokens per step from one window to the next, per expert.
  std::vector<double> Trend;
  /// Time for which the popularity is expected to stay similar.
  base::Duration Lifetime{};
  /// Time at which the newest window in the estimate was closed.
  base::TimePoint MeasuredAt{};
  /// Fraction of the ranks that reported in the newest window, 0 to 1; 0 means
  /// that there is no estimate yet.
  double Coverage = 0;
};

/// Settings of the estimator.
struct EstimatorSettings {
  std::uint32_t Experts = 0;
  std::uint32_t Ranks = 0;
  /// After a topic shift, the skew stays until the end of the first window that
  /// shows the shift: mean skew after shifts is 1.27 with windows of 10 s and
  /// 1.09 with 2 s.
  base::Duration WindowLength = std::chrono::seconds(1);
  /// Number of windows for which late reports are still merged.
  std::uint32_t OpenWindows = 2;
  /// Smoothing factor of the level (Holt's method). Counts of a window of 20
  /// steps have about 1% noise for the experts that matter, so little smoothing
  /// is needed.
  double LevelSmoothing = 0.8;
  /// Smoothing factor of the trend (Holt's method).
  double TrendSmoothing = 0.15;
  /// Windows with less coverage don't change the estimate.
  double MinCoverage = 0.25;
  base::Duration MinLifetime = std::chrono::seconds(30);
  base::Duration MaxLifetime = std::chrono::minutes(30);
};

/// Estimates the popularity of one layer's experts from reports that may be
/// late, repeated or missing. Missing ranks are assumed to see the same
/// distribution as the ranks that reported.
class PopularityEstimator {
public:
  explicit PopularityEstimator(EstimatorSettings settings);

  /// Merges a report into its window.
  ReportVerdict addReport(const CountReport &report);
  /// Closes the windows that are OpenWindows or more behind `newest` and
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
  std::map<std::uint64_t, Window> OpenWindowData;
  Smoothed SmoothedClosed;
  std::uint64_t OldestOpen = 0;
  std::deque<std::vector<double>> History;
  PopularityEstimate Current;
};

} // namespace bergamot::experts

#endif
