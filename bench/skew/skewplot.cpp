#include "skewplot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace bergamot::skew {

namespace {

constexpr double Left = 60;
constexpr double Width = 900;
constexpr double PanelHeight = 190;
constexpr double CurveHeight = 130;
// Curves of static maps leave the scale; the planner's range matters.
constexpr double MaxSkew = 1.6;
constexpr std::array Colours = {"#999999", "#d08770", "#2e5aac"};
constexpr std::array Names = {"static", "from scratch", "planner"};

double yOf(double skew, double top) {
  const double part = (std::min(skew, MaxSkew) - 1.0) / (MaxSkew - 1.0);
  return top + CurveHeight * (1 - std::max(part, 0.0));
}

double xOf(std::size_t i, std::size_t count) {
  return Left + Width * static_cast<double>(i) / static_cast<double>(count);
}

void drawAxis(std::ostream &out, double top) {
  for (const double skew : {1.0, 1.05, 1.2, 1.4, 1.6}) {
    const double y = yOf(skew, top);
    out << "<line x1='" << Left << "' x2='" << Left + Width << "' y1='" << y
        << "' y2='" << y << "' stroke='" << (skew == 1.05 ? "#b00" : "#ddd")
        << "'/><text x='" << Left - 6 << "' y='" << y + 4
        << "' text-anchor='end'>" << skew << "</text>\n";
  }
}

void drawRun(std::ostream &out, const RunResult &run, const char *colour,
             double top) {
  out << "<polyline fill='none' stroke='" << colour << "' points='";
  for (std::size_t i = 0; i < run.SkewSeries.size(); ++i)
    out << xOf(i, run.SkewSeries.size()) << ',' << yOf(run.SkewSeries[i], top)
        << ' ';
  out << "'/>\n";
}

void drawMoves(std::ostream &out, const RunResult &run, double top) {
  const double base = top + CurveHeight + 4;
  for (std::size_t i = 0; i < run.BytesSeries.size(); ++i) {
    if (run.BytesSeries[i] <= 0)
      continue;
    const double x = xOf(i, run.BytesSeries.size());
    const double length = 3 + 3 * std::log2(1 + run.BytesSeries[i] / 1e8);
    out << "<line x1='" << x << "' x2='" << x << "' y1='" << base << "' y2='"
        << base + std::min(length, 20.0) << "' stroke='" << Colours[2]
        << "'/>\n";
  }
}

} // namespace

std::string skewPlot(const std::vector<PlotPanel> &panels) {
  std::ostringstream out;
  const double height = 40 + PanelHeight * static_cast<double>(panels.size());
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << Left + Width + 20
      << "' height='" << height
      << "' font-family='sans-serif' font-size='11'>\n"
         "<rect width='100%' height='100%' fill='white'/>\n";
  for (std::size_t i = 0; i < Names.size(); ++i)
    out << "<text x='" << Left + 150.0 * static_cast<double>(i)
        << "' y='16' fill='" << Colours.at(i) << "'>" << Names.at(i)
        << "</text>\n";
  out << "<text x='" << Left + 450
      << "' y='16'>ticks: intervals in which the planner moved replicas"
         "</text>\n";
  double top = 40;
  for (const PlotPanel &panel : panels) {
    out << "<text x='" << Left << "' y='" << top - 4 << "'>" << panel.Title
        << " (max/mean step time)</text>\n";
    drawAxis(out, top);
    for (std::size_t i = 0; i < panel.Runs.size(); ++i)
      drawRun(out, panel.Runs[i], Colours.at(i), top);
    drawMoves(out, panel.Runs.back(), top);
    top += PanelHeight;
  }
  out << "</svg>\n";
  return out.str();
}

} // namespace bergamot::skew
