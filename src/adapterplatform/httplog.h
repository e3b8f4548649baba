#ifndef BERGAMOT_ADAPTERPLATFORM_HTTPLOG_H
#define BERGAMOT_ADAPTERPLATFORM_HTTPLOG_H

#include "adapterhttp/httpclient.h"
#include "adapterplatform/platformlog.h"

#include <string>
#include <vector>

namespace bergamot::adapterplatform {

/// Client of the platform's log over HTTP and JSON. Thread-safe.
class HttpLog {
public:
  /// The endpoint is an IP address with a port.
  explicit HttpLog(const std::string &endpoint) : Client(endpoint) {}

  /// Appends the records in one request and returns the offset of the first.
  /// Throws base::Error, in which case the records may still have been stored.
  base::LogOffset append(const std::string &stream,
                         const std::vector<std::string> &records,
                         base::TimePoint deadline);

  /// Reads up to `limit` records, starting at an offset. Waits for the first
  /// one until shortly before the deadline. Throws base::Error.
  LogPage read(const std::string &stream, base::LogOffset from,
               std::size_t limit, base::TimePoint deadline);

private:
  adapterhttp::HttpClient Client;
};

static_assert(LogApi<HttpLog>);

} // namespace bergamot::adapterplatform

#endif
