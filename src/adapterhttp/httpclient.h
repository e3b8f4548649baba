#ifndef BERGAMOT_ADAPTERHTTP_HTTPCLIENT_H
#define BERGAMOT_ADAPTERHTTP_HTTPCLIENT_H

#include "adapterhttp/httpstream.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::adapterhttp {

/// An HTTP/1.1 client for one endpoint. It keeps idle connections for reuse
/// and never repeats a request by itself. Safe to use from several threads.
class HttpClient {
public:
  /// The endpoint is an IP address with a port, such as 127.0.0.1:8080.
  /// Throws base::Error if it is not.
  explicit HttpClient(const std::string &endpoint);

  /// Sends a request and returns the complete response. The target is the
  /// path with an optional query. Host, Content-Length, Transfer-Encoding and
  /// Connection are set here and ignored among the headers. Throws
  /// HttpClientError.
  HttpResponse request(const std::string &method, const std::string &target,
                       const std::vector<HttpHeader> &headers,
                       std::string_view body, base::TimePoint deadline);

  /// Sends a request and returns once the head of the response has arrived.
  /// The deadline covers the sending and the head only. The token, if given,
  /// must outlive the stream. Throws HttpClientError.
  std::unique_ptr<HttpStream>
  open(const std::string &method, const std::string &target,
       const std::vector<HttpHeader> &headers, std::string_view body,
       base::TimePoint deadline, HttpCancel *cancel = nullptr);

  /// Returns the endpoint as given.
  const std::string &endpoint() const { return Pool->peer(); }

private:
  std::shared_ptr<ConnectionPool> Pool;
};

} // namespace bergamot::adapterhttp

#endif
