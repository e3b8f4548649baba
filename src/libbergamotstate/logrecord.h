#ifndef BERGAMOT_LIBBERGAMOTSTATE_LOGRECORD_H
#define BERGAMOT_LIBBERGAMOTSTATE_LOGRECORD_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <string>

namespace bergamot::state {

/// One record of a stream in the platform's log, as returned by a read.
struct LogRecord {
  base::LogOffset Offset;
  /// Time at which the log stored the record, by the log's clock.
  base::WallTime Time;
  /// One line of JSON.
  std::string Data;
};

} // namespace bergamot::state

#endif
