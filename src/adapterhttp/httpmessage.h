#ifndef BERGAMOT_ADAPTERHTTP_HTTPMESSAGE_H
#define BERGAMOT_ADAPTERHTTP_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace bergamot::adapterhttp {

/// One header field of a request or response.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// Returns the value of the first header with the name, compared without
/// regard to case, or null if there is none.
const std::string *findHeader(const std::vector<HttpHeader> &headers,
                              std::string_view name);

/// A request that the server received completely.
struct HttpRequest {
  std::string Method;
  /// The path as sent, not percent-decoded.
  std::string Path;
  /// The text after '?', empty if there is none.
  std::string Query;
  /// The caller's IP address without the port.
  std::string RemoteAddress;
  std::vector<HttpHeader> Headers;
  std::string Body;

  /// Returns the value of the first header with the name, compared without
  /// regard to case, or null if there is none.
  const std::string *header(std::string_view name) const;
};

/// A response that the client received completely.
struct HttpResponse {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;

  /// Returns the value of the first header with the name, compared without
  /// regard to case, or null if there is none.
  const std::string *header(std::string_view name) const;
};

/// Returns the reason phrase of a status, such as "Not Found".
std::string_view reasonPhrase(int status);

/// Returns a text percent-encoded for use as a value in a query.
std::string percentEncoded(const std::string &text);

/// Returns an RFC 9457 problem document for an error that arises in the HTTP
/// layer itself. The value of executed is "no", "yes" or "unknown".
std::string problemDocument(int status, std::string_view detail,
                            std::string_view executed);

} // namespace bergamot::adapterhttp

#endif
