#include "libbergamotexperts/popularityestimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bergamot::experts {

namespace {

// Interval over which the change of the popularity is measured. Over one short
// window, noise is as large as the change.
constexpr auto ChangeInterval = std::chrono::seconds(60);
// Maximum number of windows by which a report may be ahead of
// setNewestWindow().
constexpr std::uint64_t MaxWindowsAhead = 4;
// The pattern counts as outdated once this fraction of the tokens goes to other
// experts.
constexpr double LifetimeChange = 0.2;

std::vector<double> normalized(const std::vector<double> &values) {
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  std::vector<double> parts(values.size(), 0.0);
  if (sum > 0)
    std::ranges::transform(values, parts.begin(),
                           [=](double value) { return value / sum; });
  return parts;
}

double totalVariation(const std::vector<double> &a,
                      const std::vector<double> &b) {
  double sum = 0;
  for (std::size_t i = 0; i < a.size(); ++i)
    sum += std::abs(a[i] - b[i]);
  return sum / 2;
}

} // namespace

PopularityEstimator::PopularityEstimator(EstimatorSettings settings)
    : Settings(settings) {}

ReportVerdict PopularityEstimator::addReport(const CountReport &report) {
  if (report.Rank >= Settings.Ranks || report.Steps == 0 ||
      report.Tokens.size() != Settings.Experts)
    return ReportVerdict::Malformed;
  if (report.Window < OldestOpen)
    return ReportVerdict::TooLate;
  // Bounds the memory used by reports with corrupted window numbers.
  if (report.Window > OldestOpen + Settings.OpenWindows + MaxWindowsAhead)
    return ReportVerdict::TooEarly;
  Window &window = OpenWindowData[report.Window];
  if (window.Tokens.empty()) {
    window.Tokens.assign(Settings.Experts, 0.0);
    window.Reported.assign(Settings.Ranks, false);
    window.Steps = report.Steps;
  }
  if (window.Steps != report.Steps)
    return ReportVerdict::Malformed;
  if (window.Reported[report.Rank])
    return ReportVerdict::Duplicate;
  window.Reported[report.Rank] = true;
  ++window.ReportCount;
  for (std::size_t e = 0; e < report.Tokens.size(); ++e)
    window.Tokens[e] += report.Tokens[e];
  return ReportVerdict::Counted;
}

void PopularityEstimator::updateSmoothed(Smoothed &state,
                                         const Window &window) const {
  const double coverage =
      static_cast<double>(window.ReportCount) / Settings.Ranks;
  if (coverage < Settings.MinCoverage)
    return;
  const double scale = 1.0 / (coverage * window.Steps);
  if (state.Level.empty()) {
    state.Level = window.Tokens;
    for (double &value : state.Level)
      value *= scale;
    state.Trend.assign(Settings.Experts, 0.0);
    return;
  }
  for (std::size_t e = 0; e < Settings.Experts; ++e) {
    const double before = state.Level[e];
    const double expected = before + state.Trend[e];
    const double level = expected + Settings.LevelSmoothing *
                                        (window.Tokens[e] * scale - expected);
    // A jump of more than a third is a topic shift, whose slope doesn't predict
    // the next window.
    const bool jump = std::abs(level - before) > before / 3;
    const double change = jump ? 0.0 : level - before;
    state.Trend[e] += Settings.TrendSmoothing * (change - state.Trend[e]);
    state.Level[e] = std::max(level, 0.0);
  }
}

void PopularityEstimator::setNewestWindow(std::uint64_t newest,
                                          base::TimePoint now) {
  const std::uint64_t oldest =
      newest + 1 > Settings.OpenWindows ? newest + 1 - Settings.OpenWindows : 0;
  OldestOpen = std::max(OldestOpen, oldest);
  for (auto it = OpenWindowData.begin();
       it != OpenWindowData.end() && it->first < OldestOpen;
       it = OpenWindowData.erase(it))
    updateSmoothed(SmoothedClosed, it->second);
  Smoothed merged = SmoothedClosed;
  double coverage = 0;
  for (auto it = OpenWindowData.begin();
       it != OpenWindowData.end() && it->first <= newest; ++it) {
    updateSmoothed(merged, it->second);
    coverage = static_cast<double>(it->second.ReportCount) / Settings.Ranks;
  }
  if (merged.Level.empty())
    return;
  Current.Coverage = coverage;
  Current.MeasuredAt = now;
  Current.Trend = merged.Trend;
  Current.TokensPerStep = std::move(merged.Level);
  for (std::size_t e = 0; e < Settings.Experts; ++e)
    Current.TokensPerStep[e] =
        std::max(0.0, Current.TokensPerStep[e] + Current.Trend[e]);
  updateLifetime();
}

void PopularityEstimator::updateLifetime() {
  History.push_back(normalized(Current.TokensPerStep));
  const auto lag = static_cast<std::size_t>(
      std::max<base::Duration::rep>(ChangeInterval / Settings.WindowLength, 2));
  if (History.size() > lag + 1)
    History.pop_front();
  Current.Lifetime = Settings.MinLifetime;
  if (History.size() < 2)
    return;
  const double change = totalVariation(History.front(), History.back()) /
                        static_cast<double>(History.size() - 1);
  const double windows = LifetimeChange / std::max(change, 1e-6);
  const auto lifetime = Settings.WindowLength * windows;
  Current.Lifetime =
      std::clamp(std::chrono::duration_cast<base::Duration>(lifetime),
                 Settings.MinLifetime, Settings.MaxLifetime);
}

} // namespace bergamot::experts
