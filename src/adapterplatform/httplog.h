#ifndef BERGAMOT_ADAPTERPLATFORM_HTTPLOG_H
#define BERGAMOT_ADAPTERPLATFORM_HTTPLOG_H

#include "adapterhttp/httpclient.h"
#include "adapterplatform/platformlog.h"

#include <string>
#include <vector>

namespace bergamot::adapterplatform {

/// The platform's log over HTTP and JSON. Safe to use from several threads.
class HttpLog {
public:
  /// The endpoint is an IP address with a port.
  explicit HttpLog(const std::string &endpoint) : Client(endpoint) {}

  /// Appends the records as one append and returns the offset of the first.
  /// Throws base::Error; the records may have been stored all the same.
  base::LogOffset append(const std::string &stream,
                         const std::vector<std::string> &records,
                         base::TimePoint deadline);

  /// Reads at most `limit` records from an offset on. Waits for the first one
  /// until shortly before the deadline. Throws base::Error.
  LogPage read(const std::string &stream, base::LogOffset from,
               std::size_t limit, base::TimePoint deadline);

private:
  adapterhttp::HttpClient Client;
};

static_assert(LogApi<HttpLog>);

} // namespace bergamot::adapterplatform

#endif
