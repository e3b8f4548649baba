#ifndef BERGAMOT_LIBBERGAMOTCONFIG_LOGRECORD_H
#define BERGAMOT_LIBBERGAMOTCONFIG_LOGRECORD_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <string>

namespace bergamot::config {

/// A record of the stream `config` as the platform's log returns it. Time is
/// the log's own time of the append.
struct LogRecord {
  base::LogOffset Offset;
  base::WallTime Time;
  std::string Text;
};

} // namespace bergamot::config

#endif
