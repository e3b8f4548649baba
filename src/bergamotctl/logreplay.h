#ifndef BERGAMOT_BERGAMOTCTL_LOGREPLAY_H
#define BERGAMOT_BERGAMOTCTL_LOGREPLAY_H

#include "bergamotctl/configlog.h"
#include "libbergamotbase/timetypes.h"
#include "libbergamotconfig/configledger.h"

namespace bergamot::bergamotctl {

/// Follows the stream `config` with a ledger.
class LogReplay {
public:
  /// The log must outlive the replay.
  explicit LogReplay(ConfigLog &log) : Log(log) {}

  /// Reads to the present end of the log. Retries failed reads with more time
  /// each; throws base::Error with the last failure at the deadline.
  void readToEnd(base::TimePoint deadline);

  /// Reads once and returns whether there were new records. Throws
  /// base::Error.
  bool readOnce(base::TimePoint deadline);

  /// Returns the state of what has been read.
  const config::ConfigLedger &ledger() const { return Ledger; }

private:
  ConfigLog &Log;
  config::ConfigLedger Ledger;
  base::LogOffset Position;
};

} // namespace bergamot::bergamotctl

#endif
