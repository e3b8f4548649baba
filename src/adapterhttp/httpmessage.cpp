#include "adapterhttp/httpmessage.h"

#include <boost/beast/http/status.hpp>
#include <civetweb.h>
#include <nlohmann/json.hpp>
#include <strings.h>

#include <algorithm>

namespace bergamot::adapterhttp {

const std::string *findHeader(const std::vector<HttpHeader> &headers,
                              std::string_view name) {
  for (const HttpHeader &it : headers)
    if (it.Name.size() == name.size() &&
        strncasecmp(it.Name.data(), name.data(), name.size()) == 0)
      return &it.Value;
  return nullptr;
}

const std::string *HttpRequest::header(std::string_view name) const {
  return findHeader(Headers, name);
}

const std::string *HttpResponse::header(std::string_view name) const {
  return findHeader(Headers, name);
}

std::string_view reasonPhrase(int status) {
  namespace http = boost::beast::http;
  auto text =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return {text.data(), text.size()};
}

std::string percentEncoded(const std::string &text) {
  constexpr std::size_t LongestEncoding = 3;
  std::string encoded(LongestEncoding * text.size() + 1, '\0');
  const int size = mg_url_encode(text.c_str(), encoded.data(), encoded.size());
  encoded.resize(static_cast<std::size_t>(std::max(size, 0)));
  return encoded;
}

std::string problemDocument(int status, std::string_view detail,
                            std::string_view executed) {
  nlohmann::json problem = {
      {"type", "about:blank"}, {"title", reasonPhrase(status)},
      {"status", status},      {"detail", detail},
      {"step", "parse"},       {"peer", ""},
      {"executed", executed}};
  return problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace bergamot::adapterhttp
