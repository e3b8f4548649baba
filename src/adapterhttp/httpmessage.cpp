#include "adapterhttp/httpmessage.h"

#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>
#include <strings.h>

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

std::string queryParameter(std::string_view query, std::string_view name,
                           std::string_view fallback) {
  while (!query.empty()) {
    std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    if (pair.size() > name.size() && pair.substr(0, name.size()) == name &&
        pair[name.size()] == '=')
      return std::string(pair.substr(name.size() + 1));
  }
  return std::string(fallback);
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
