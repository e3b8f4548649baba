#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_LOADTRACKER_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_LOADTRACKER_H

#include "libbergamotbase/timetypes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamot::gateway {

using base::TimePoint;

/// A hash that identifies a target in reports. Collisions between two targets
/// of a deployment are rare; if two collide, the load of both is attributed to
/// each of them.
using TargetHash = std::uint32_t;
TargetHash targetHash(std::string_view target);

/// One entry's requests in flight by target.
using RequestCounts = std::vector<std::pair<TargetHash, std::uint32_t>>;

/// When the reports arrived that are in use.
struct ReportTimes {
  std::size_t Reports = 0;
  /// Unset if there are no reports.
  std::optional<TimePoint> Oldest;
  std::optional<TimePoint> Newest;
};

/// The number of requests in flight at each target over all entries: exact for
/// this entry's own requests, as last reported for those of the other entries.
/// Reports expire, so that the requests of an entry that has stopped no longer
/// count: they ended when its connections closed.
class LoadTracker {
public:
  explicit LoadTracker(base::Duration reportLifetime)
      : ReportLifetime(reportLifetime) {}

  void addLocalRequest(const std::string &target);
  void removeLocalRequest(const std::string &target);
  /// Records that the present local counts have been reported to the others.
  void recordReported();
  /// Replaces the last report of another entry.
  void setReport(const std::string &entry, RequestCounts counts, TimePoint now);
  /// Drops reports that have expired.
  void removeExpired(TimePoint now);

  /// Returns the number of requests of all entries at a target. The cost
  /// doesn't depend on the number of entries.
  std::uint32_t total(const std::string &target) const;
  RequestCounts localCounts() const;
  /// Returns the number of requests of this entry at a target, and of all other
  /// entries by their last reports.
  std::uint32_t local(const std::string &target) const;
  std::uint32_t remote(TargetHash target) const;
  /// Returns the number of requests of this entry at a target by its own last
  /// report.
  std::uint32_t reported(const std::string &target) const;
  /// Changes how long reports are used, beginning with the next ones.
  void setReportLifetime(base::Duration lifetime) { ReportLifetime = lifetime; }
  /// Returns the number of entries with a current report, plus this one.
  unsigned liveEntryCount() const {
    return static_cast<unsigned>(Reports.size()) + 1;
  }
  /// Returns the names of the other entries with a current report.
  std::set<std::string> liveEntryNames() const;
  /// Returns when the current reports of the other entries arrived. Each of
  /// them concerns all targets: an entry omits the targets at which it has no
  /// requests.
  ReportTimes reportTimes() const;

private:
  struct Report {
    RequestCounts Counts;
    TimePoint ReceivedAt;
    TimePoint ExpiresAt;
  };

  void subtract(const RequestCounts &counts);

  base::Duration ReportLifetime;
  std::map<std::string, std::uint32_t> LocalCounts;
  std::map<std::string, std::uint32_t> ReportedCounts;
  std::map<std::string, Report> Reports;
  /// Totals over all reports.
  std::unordered_map<TargetHash, std::uint32_t> RemoteTotals;
};

} // namespace bergamot::gateway

#endif
