#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_LOADBOARD_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_LOADBOARD_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamot::gateway {

using base::TimePoint;

/// Work that one entry has at one target.
struct TargetWork {
  /// Requests in flight.
  std::uint32_t Requests = 0;
  /// Predicted work of these requests, in prompt and output tokens weighted
  /// by their cost.
  double Work = 0;

  bool operator==(const TargetWork &) const = default;
};

/// The work of one entry at all targets, by target id.
using WorkByTarget = std::map<std::string, TargetWork>;

/// What all entries together have at each target: this entry's own work
/// exactly, that of the others as they last reported it. A report is used
/// until it expires, so that the work of an entry that has vanished is
/// forgotten; its requests end with its connections.
class LoadBoard {
public:
  explicit LoadBoard(base::Duration reportLife) : ReportLife(reportLife) {}

  void addOwn(const std::string &target, double work);
  void removeOwn(const std::string &target, double work);
  /// Replaces what another entry reports.
  void setReport(const std::string &entry, WorkByTarget work, TimePoint now);

  /// Returns the work of all entries at a target.
  TargetWork total(const std::string &target, TimePoint now) const;
  const WorkByTarget &own() const { return Own; }
  /// Returns the entries whose reports haven't expired, and this one.
  unsigned liveEntries(TimePoint now) const;

private:
  struct Report {
    WorkByTarget Work;
    TimePoint ExpiresAt;
  };

  base::Duration ReportLife;
  WorkByTarget Own;
  std::map<std::string, Report> Reports;
};

} // namespace bergamot::gateway

#endif
