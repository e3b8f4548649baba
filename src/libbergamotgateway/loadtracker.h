#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_LOADTRACKER_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_LOADTRACKER_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamot::gateway {

using base::TimePoint;

/// A target's name in reports. Two targets of a deployment hardly ever share
/// one; if they do, each looks as loaded as both.
using TargetKey = std::uint32_t;
TargetKey targetKey(std::string_view target);

/// Requests in flight of one entry by target.
using RequestCounts = std::vector<std::pair<TargetKey, std::uint32_t>>;

/// What all entries together have in flight at each target: this entry's own
/// requests exactly, those of the others as they last reported them. A report
/// is used until it expires, so that the requests of an entry that has vanished
/// are forgotten; they end with its connections.
class LoadTracker {
public:
  explicit LoadTracker(base::Duration reportLifetime)
      : ReportLifetime(reportLifetime) {}

  void addLocalRequest(const std::string &target);
  void removeLocalRequest(const std::string &target);
  /// Replaces what another entry reports.
  void setReport(const std::string &entry, RequestCounts counts, TimePoint now);
  /// Forgets the reports that have expired.
  void removeExpired(TimePoint now);

  /// Returns the requests of all entries at a target. Costs the same however
  /// many entries there are.
  std::uint32_t total(const std::string &target) const;
  RequestCounts localCounts() const;
  /// Returns the entries whose reports are in use, and this one.
  unsigned liveEntryCount() const {
    return static_cast<unsigned>(Reports.size()) + 1;
  }

private:
  struct Report {
    RequestCounts Counts;
    TimePoint ExpiresAt;
  };

  void subtract(const RequestCounts &counts);

  base::Duration ReportLifetime;
  std::map<std::string, std::uint32_t> LocalCounts;
  std::map<std::string, Report> Reports;
  /// Sums over all reports.
  std::unordered_map<TargetKey, std::uint32_t> RemoteTotals;
};

} // namespace bergamot::gateway

#endif
