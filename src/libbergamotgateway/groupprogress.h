#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_GROUPPROGRESS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_GROUPPROGRESS_H

#include "libbergamotbase/timetypes.h"

#include <map>
#include <optional>
#include <string>

namespace bergamot::gateway {

/// Tracks which groups of ranks make progress. After a power loss of its VMs, a
/// group takes about two seconds to re-form, that is, until all its ranks have
/// rejoined. A target holds a request sent to it in that time for 1.5 s and
/// then refuses it, which uses up one attempt of the request and part of the
/// retry budget. Therefore, a group that is stalled or hasn't shown any
/// progress yet gets one probe request at a time until one succeeds.
///
/// A group whose ranks are running but which hasn't re-formed yet refuses
/// requests immediately. The first request that it doesn't refuse shows that it
/// accepts requests, well before the first event of the response.
///
/// Where the records of the ranks are used (recordClosed, recordOpened), a
/// group that they call closed counts as re-forming. It still gets probes, as
/// an entry reads the records up to a second late, and gets all requests as
/// soon as they call it open.
class GroupProgress {
public:
  /// Returns whether the group is expected to process requests without a stall.
  bool isReady(const std::string &group, base::TimePoint now) const;
  /// Returns whether a request may be sent to the group: it is ready, or a
  /// probe is due.
  bool mayDispatch(const std::string &group, base::TimePoint now) const;

  void recordDispatch(const std::string &group, base::TimePoint now);
  /// Records an event or a response from one of the group's ranks.
  void recordProgress(const std::string &group, base::TimePoint now);
  /// Records the refusal of a request that was sent at `sentAt`.
  void recordRefusal(const std::string &group, base::TimePoint sentAt,
                     base::TimePoint now);
  /// Records that, by its ranks' records, the group stopped accepting requests.
  void recordClosed(const std::string &group);
  /// Records that a request reached another instance than that of the rank's
  /// record. The rank has restarted, so the group has to re-form, unless it has
  /// just made progress. Such a response doesn't show that the group accepts
  /// requests.
  void recordReplacedRank(const std::string &group, base::TimePoint now);
  /// Records that, by its ranks' records, the group accepts requests again.
  void recordOpened(const std::string &group, base::TimePoint now);

private:
  struct State {
    bool HasProgressed = false;
    bool Stalled = false;
    /// The group hasn't re-formed yet and refuses requests immediately.
    bool ReForming = false;
    base::TimePoint LastProgressAt;
    /// When the first request after the last progress was sent.
    std::optional<base::TimePoint> AwaitingProgressSince;
    base::TimePoint LastDispatchAt;
  };

  std::map<std::string, State> ByGroup;
};

} // namespace bergamot::gateway

#endif
