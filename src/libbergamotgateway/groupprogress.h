#ifndef BERGAMOT_LIBBERGAMOTGATEWAY_GROUPPROGRESS_H
#define BERGAMOT_LIBBERGAMOTGATEWAY_GROUPPROGRESS_H

#include "libbergamotbase/timetypes.h"

#include <map>
#include <optional>
#include <string>

namespace bergamot::gateway {

/// Tells which groups of ranks make progress. Load pattern: after a power loss
/// a group forms anew for some two seconds. What is sent to it meanwhile comes
/// back refused after a stall of 1.5 s and has used up a try of its caller and
/// of the retry budget. A group that stands still, and one of which nothing is
/// known yet, therefore gets single requests until one of them moves.
///
/// A group whose ranks run but that hasn't formed yet refuses at once. The
/// first request that it doesn't refuse shows that it is open, long before its
/// first event.
class GroupProgress {
public:
  /// Returns whether requests to the group are expected to be served now.
  bool isServing(const std::string &group, base::TimePoint now) const;
  /// Returns whether a request may be sent: the group moves, or it is time to
  /// find out whether it does.
  bool allowsRequest(const std::string &group, base::TimePoint now) const;

  void recordDispatch(const std::string &group, base::TimePoint now);
  /// Takes an event or a response of one of the group's ranks.
  void recordProgress(const std::string &group, base::TimePoint now);
  /// Takes a refusal of a request that was sent at `sentAt`.
  void recordRefusal(const std::string &group, base::TimePoint sentAt,
                     base::TimePoint now);

private:
  struct State {
    bool HasProgressed = false;
    bool Stalled = false;
    /// The group refuses at once, as it hasn't formed yet.
    bool Forming = false;
    base::TimePoint LastProgressAt;
    /// The first request since the last progress.
    std::optional<base::TimePoint> PendingSince;
    base::TimePoint LastDispatchAt;
  };

  std::map<std::string, State> ByGroup;
};

} // namespace bergamot::gateway

#endif
