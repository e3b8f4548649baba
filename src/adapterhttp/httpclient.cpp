#include "adapterhttp/httpclient.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <utility>

namespace bergamot::adapterhttp {

namespace {

constexpr std::size_t ReadBytes = 64 * 1024;

/// Returns whether the text could end its line of the request head and so add
/// headers of its own.
bool hasLineBreak(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

/// Returns whether the client sets the header itself. A caller that forwards
/// a request may pass the ones it received.
bool isSetHere(const std::string &name) {
  constexpr std::array<const char *, 4> Names = {
      "Host", "Content-Length", "Transfer-Encoding", "Connection"};
  return std::any_of(Names.begin(), Names.end(), [&](const char *it) {
    return strcasecmp(it, name.c_str()) == 0;
  });
}

std::string formatRequest(const std::string &peer, const std::string &method,
                          const std::string &target,
                          const std::vector<HttpHeader> &headers,
                          std::string_view body) {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + peer;
  bool invalid = hasLineBreak(method) || hasLineBreak(target) ||
                 target.find(' ') != std::string::npos;
  text.append("\r\n");
  for (const HttpHeader &it : headers) {
    invalid = invalid || hasLineBreak(it.Name) || hasLineBreak(it.Value);
    if (!isSetHere(it.Name))
      text.append(it.Name).append(": ").append(it.Value).append("\r\n");
  }
  if (invalid)
    throw HttpClientError(base::Step::Dispatch, peer,
                          "a request line or header has a line break", false);
  if (!body.empty() || method == "POST" || method == "PUT")
    text.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n");
  return text.append("\r\n").append(body);
}

} // namespace

HttpClient::HttpClient(const std::string &endpoint)
    : Pool(std::make_shared<ConnectionPool>(endpoint)) {}

HttpResponse HttpClient::request(const std::string &method,
                                 const std::string &target,
                                 const std::vector<HttpHeader> &headers,
                                 std::string_view body,
                                 base::TimePoint deadline) {
  auto stream = open(method, target, headers, body, deadline);
  HttpResponse response{stream->status(), stream->headers(), {}};
  for (;;) {
    std::string piece = stream->read(ReadBytes, deadline);
    if (piece.empty())
      return response;
    response.Body += piece;
  }
}

std::unique_ptr<HttpStream>
HttpClient::open(const std::string &method, const std::string &target,
                 const std::vector<HttpHeader> &headers, std::string_view body,
                 base::TimePoint deadline, HttpCancel *cancel) {
  std::string text = formatRequest(Pool->peer(), method, target, headers, body);
  return std::make_unique<HttpStream>(Pool, text, method == "HEAD", deadline,
                                      cancel);
}

} // namespace bergamot::adapterhttp
