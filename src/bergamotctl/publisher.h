#ifndef BERGAMOT_BERGAMOTCTL_PUBLISHER_H
#define BERGAMOT_BERGAMOTCTL_PUBLISHER_H

#include "bergamotctl/configlog.h"
#include "bergamotctl/logreplay.h"
#include "libbergamotbase/timetypes.h"
#include "libbergamotconfig/change.h"
#include "libbergamotconfig/verdict.h"

#include <cstddef>
#include <optional>
#include <string>

namespace bergamot::bergamotctl {

/// How a publication ended. Decision is empty if the change wasn't decided
/// before the deadline; LastError is then the last failure of the log.
/// Appends counts the appends that were tried.
struct Publication {
  std::optional<config::Verdict> Decision;
  std::string LastError;
  std::size_t Appends = 0;
};

/// Appends a change and waits until the log decides it.
class Publisher {
public:
  /// Both must outlive the publisher. The replay must have read the log up to
  /// the base version of the change.
  Publisher(ConfigLog &log, LogReplay &replay) : Log(log), Replay(replay) {}

  /// After an append that failed, the log is read back to its end, and the
  /// record is appended again only if it isn't there. A second record, should
  /// the first arrive late, counts once because it has the same change id.
  Publication publish(const config::Change &change, base::TimePoint deadline);

  /// Returns the decision on a change that the replay has read, if any.
  std::optional<config::Verdict> decisionOn(const std::string &changeId) const;

private:
  bool readBack(base::TimePoint deadline, const std::string &changeId,
                bool mustAppear, std::string &lastError);

  ConfigLog &Log;
  LogReplay &Replay;
};

} // namespace bergamot::bergamotctl

#endif
