#include "libbergamotbase/httpheadsyntax.h"

#include <algorithm>

namespace bergamot::base {

namespace {

/// A status line up to the end of the status; `d` stands for a digit.
constexpr std::string_view StatusLinePattern = "HTTP/1.d ddd";

bool isDigit(char c) { return c >= '0' && c <= '9'; }

bool matchesPattern(std::size_t at, char c) {
  return StatusLinePattern[at] == 'd' ? isDigit(c) : c == StatusLinePattern[at];
}

} // namespace

bool isTokenChar(char c) {
  constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
  return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         Punctuation.find(c) != std::string_view::npos;
}

bool isTextChar(char c) {
  constexpr unsigned char Delete = 0x7f;
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= ' ' && byte != Delete);
}

bool matchesStatusLine(std::string_view bytes) {
  const std::size_t n = std::min(bytes.size(), StatusLinePattern.size());
  for (std::size_t i = 0; i < n; ++i)
    if (!matchesPattern(i, bytes[i]))
      return false;
  return bytes.size() <= n || bytes[n] == ' ' || bytes[n] == '\r';
}

} // namespace bergamot::base
