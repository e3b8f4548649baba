#ifndef BERGAMOT_ADAPTERHTTP_HTTPSTREAM_H
#define BERGAMOT_ADAPTERHTTP_HTTPSTREAM_H

#include "adapterhttp/connectionpool.h"
#include "adapterhttp/httpcancel.h"
#include "adapterhttp/httpclienterror.h"
#include "adapterhttp/httpmessage.h"
#include "adapterhttp/responseparser.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::adapterhttp {

/// A response whose body is read piece by piece. Only cancel() may be called
/// by a thread other than the reader's.
class HttpStream {
public:
  /// Sends the request and waits for the head of the response. Used by
  /// HttpClient. Throws HttpClientError.
  HttpStream(std::shared_ptr<ConnectionPool> pool, std::string_view request,
             bool isHead, base::TimePoint deadline, HttpCancel *cancel);
  ~HttpStream();
  HttpStream(const HttpStream &) = delete;
  HttpStream &operator=(const HttpStream &) = delete;

  int status() const;
  const std::vector<HttpHeader> &headers() const;

  /// Returns the next bytes of the body, at least one and at most the given
  /// number, or an empty string at the end of a complete response. Throws
  /// HttpClientError if the response was cut (no final chunk, or fewer bytes
  /// than its content length), on cancel(), and at the deadline.
  std::string read(std::size_t most, base::TimePoint deadline);

  /// Ends the exchange: a read in progress and all later ones throw.
  void cancel();

private:
  void receive(base::TimePoint deadline);

  std::shared_ptr<ConnectionPool> Pool;
  std::unique_ptr<ClientSocket> Connection;
  HttpCancel *Cancel;
  ResponseParser Parser;
  std::string Buffer;
};

} // namespace bergamot::adapterhttp

#endif
