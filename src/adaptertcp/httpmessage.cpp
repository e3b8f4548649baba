#include "adaptertcp/httpmessage.h"

#include "libbergamotbase/httpheadsyntax.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace bergamot::adaptertcp {

namespace {

char toLower(char c) { return c >= 'A' && c <= 'Z' ? char(c + 32) : c; }

constexpr std::array<std::string_view, 9> HopByHopFieldNames = {
    "Connection",        "Keep-Alive", "Proxy-Connection",
    "Transfer-Encoding", "Upgrade",    "TE",
    "Trailer",           "Expect",     "Content-Length"};

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

const char *reasonPhrase(int status) {
  return http_status_str(static_cast<http_status>(status));
}

} // namespace

bool equalsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return toLower(x) == toLower(y); });
}

bool mayHaveBody(int status) {
  return status >= 200 && status != HTTP_STATUS_NO_CONTENT &&
         status != HTTP_STATUS_NOT_MODIFIED;
}

bool isToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), base::isTokenChar);
}

std::optional<std::int64_t> parseNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::optional<std::string_view>
HeaderFields::value(std::string_view name) const {
  for (const auto &it : Fields)
    if (equalsIgnoreCase(it.Name, name))
      return it.Value;
  return std::nullopt;
}

std::size_t HeaderFields::count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(Fields.begin(), Fields.end(), [&](const HeaderField &it) {
        return equalsIgnoreCase(it.Name, name);
      }));
}

void HeaderFields::add(std::string_view name, std::string_view value) {
  Fields.push_back({std::string(name), std::string(value)});
}

void HeaderFields::remove(std::string_view name) {
  std::erase_if(Fields, [&](const HeaderField &it) {
    return equalsIgnoreCase(it.Name, name);
  });
}

void HeaderFields::set(std::string_view name, std::string_view value) {
  remove(name);
  add(name, value);
}

void HeaderFields::removeHopByHopFields() {
  std::vector<std::string> connectionOptions;
  for (const auto &it : Fields) {
    if (!equalsIgnoreCase(it.Name, "Connection"))
      continue;
    std::string_view rest = it.Value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      connectionOptions.emplace_back(trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    }
  }
  for (const auto &name : HopByHopFieldNames)
    remove(name);
  for (const auto &name : connectionOptions)
    remove(name);
}

std::string requestText(const RequestHead &head, std::string_view body) {
  std::string text;
  text.reserve(512 + body.size());
  text.append(head.Method).append(" ").append(head.Target);
  text.append(" HTTP/1.1\r\n");
  for (const auto &it : head.Headers.fields())
    text.append(it.Name).append(": ").append(it.Value).append("\r\n");
  const bool bodiless = head.Method == "GET" || head.Method == "HEAD";
  if (!body.empty() || !bodiless)
    text.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n");
  text.append("\r\n").append(body);
  return text;
}

std::string responseText(const ResponseHead &head, Framing framing,
                         std::uint64_t length, bool keepAlive) {
  std::string text;
  text.reserve(512);
  text.append("HTTP/1.1 ").append(std::to_string(head.Status)).append(" ");
  text.append(reasonPhrase(head.Status)).append("\r\n");
  for (const auto &it : head.Headers.fields())
    text.append(it.Name).append(": ").append(it.Value).append("\r\n");
  const bool isFramed = mayHaveBody(head.Status);
  if (isFramed && framing == Framing::Chunked)
    text.append("Transfer-Encoding: chunked\r\n");
  else if (isFramed)
    text.append("Content-Length: ")
        .append(std::to_string(length))
        .append("\r\n");
  if (!keepAlive)
    text.append("Connection: close\r\n");
  text.append("\r\n");
  return text;
}

void appendChunk(std::string &out, std::string_view bytes) {
  std::array<char, 20> size{};
  const int n =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  out.append(size.data(), static_cast<std::size_t>(n));
  out.append(bytes).append("\r\n");
}

} // namespace bergamot::adaptertcp
