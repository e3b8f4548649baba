#ifndef BERGAMOT_ADAPTERPLATFORM_PLATFORMLOG_H
#define BERGAMOT_ADAPTERPLATFORM_PLATFORMLOG_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <concepts>
#include <cstddef>
#include <string>
#include <vector>

namespace bergamot::adapterplatform {

/// A record of a stream as the platform's log stores it. Time is the log's.
struct LogRecord {
  base::LogOffset Offset;
  base::WallTime Time;
  std::string Text;
};

/// The result of one read. Next is the offset to read on from; records below
/// Earliest have expired.
struct LogPage {
  std::vector<LogRecord> Records;
  base::LogOffset Next;
  base::LogOffset Earliest;
};

/// Access to the platform's append-only log. Both functions throw base::Error
/// on failure; after a failed append, the records may have been stored.
/// read() waits until the deadline for records from the offset on and may
/// return none.
template <typename T>
concept LogApi = requires(T &log, const std::string &stream,
                          const std::vector<std::string> &records,
                          base::LogOffset from, std::size_t limit,
                          base::TimePoint deadline) {
  { log.append(stream, records, deadline) } -> std::same_as<base::LogOffset>;
  { log.read(stream, from, limit, deadline) } -> std::same_as<LogPage>;
};

} // namespace bergamot::adapterplatform

#endif
