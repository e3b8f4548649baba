#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_GROUPPROGRESS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_GROUPPROGRESS_H

#include "libbergamotbase/timetypes.h"

#include <map>
#include <optional>
#include <string>

namespace bergamot::gateway {

/// Tracks which groups of ranks make progress. After a power loss a group takes
/// about two seconds to form again. A request sent to it in that time is
/// refused after a stall of 1.5 s, which uses up one of its attempts and part
/// of the retry budget. A stalled group, and one with no known progress,
/// therefore gets single probe requests until one of them succeeds.
///
/// A group whose ranks are running but which hasn't formed yet refuses requests
/// immediately. The first request that it doesn't refuse shows that it accepts
/// requests, well before the first event of the response.
class GroupProgress {
public:
  /// Returns whether requests to the group are expected to be served now.
  bool isServing(const std::string &group, base::TimePoint now) const;
  /// Returns whether a request may be sent: the group is serving, or a probe is
  /// due.
  bool allowsRequest(const std::string &group, base::TimePoint now) const;

  void recordDispatch(const std::string &group, base::TimePoint now);
  /// Records an event or a response from one of the group's ranks.
  void recordProgress(const std::string &group, base::TimePoint now);
  /// Records the refusal of a request that was sent at `sentAt`.
  void recordRefusal(const std::string &group, base::TimePoint sentAt,
                     base::TimePoint now);

private:
  struct State {
    bool HasProgressed = false;
    bool Stalled = false;
    /// The group hasn't formed yet and refuses requests immediately.
    bool Forming = false;
    base::TimePoint LastProgressAt;
    /// When the first request since the last progress was sent.
    std::optional<base::TimePoint> PendingSince;
    base::TimePoint LastDispatchAt;
  };

  std::map<std::string, State> ByGroup;
};

} // namespace bergamot::gateway

#endif
