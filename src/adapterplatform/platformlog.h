#ifndef BERGAMOT_ADAPTERPLATFORM_PLATFORMLOG_H
#define BERGAMOT_ADAPTERPLATFORM_PLATFORMLOG_H

#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <concepts>
#include <cstddef>
#include <string>
#include <vector>

namespace bergamot::adapterplatform {

/// A record of a stream in the platform's log. Time is assigned by the log.
struct LogRecord {
  base::LogOffset Offset;
  base::WallTime Time;
  std::string Text;
};

/// Result of a read. Next is the offset to continue reading from; records below
/// offset Earliest have expired.
struct LogPage {
  std::vector<LogRecord> Records;
  base::LogOffset Next;
  base::LogOffset Earliest;
};

/// Requirements on a client of the platform's append-only log. Both functions
/// throw base::Error on failure; after a failed append, the records may still
/// have been stored. read() waits until the deadline for records at or after
/// the offset and may return none.
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
