#ifndef BERGAMOT_SKEW_SKEWPLOT_H
#define BERGAMOT_SKEW_SKEWPLOT_H

#include "simulation.h"

#include <string>
#include <vector>

namespace bergamot::skew {

/// One panel of the plot: the same trace under several methods.
struct PlotPanel {
  std::string Title;
  /// Static, from scratch and planner, in this order.
  std::vector<RunResult> Runs;
};

/// Returns an SVG document with the skew over time, one panel per trace. A
/// tick below the curve marks an interval in which the planner moved replicas.
std::string skewPlot(const std::vector<PlotPanel> &panels);

} // namespace bergamot::skew

#endif
