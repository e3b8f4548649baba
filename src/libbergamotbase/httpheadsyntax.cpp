#include "libbergamotbase/httpheadsyntax.h"

#include "libbergamotbase/responsestatus.h"

#include <algorithm>

namespace bergamot::base {

namespace {

/// A status line up to the end of the status; `d` stands for a digit.
constexpr std::string_view StatusLinePattern = "HTTP/1.d ddd";
constexpr std::size_t StatusAt = StatusLinePattern.find("ddd");

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

HttpHeadSyntax::HttpHeadSyntax(Beginning beginning)
    : At(beginning == Beginning::Request    ? State::EmptyLine
         : beginning == Beginning::Response ? State::StatusLine
                                            : State::LineStart) {}

std::size_t HttpHeadSyntax::push(std::string_view bytes) {
  std::size_t n = 0;
  while (n < bytes.size() && At != State::Complete && At != State::Failed)
    At = next(bytes[n++]);
  return n;
}

HttpHeadSyntax::State HttpHeadSyntax::next(char c) {
  switch (At) {
  case State::EmptyLine:
    if (c == '\r')
      return State::EmptyLineEnd;
    return c == '\n' ? State::Failed : State::RequestLine;
  case State::EmptyLineEnd:
    return c == '\n' ? State::EmptyLine : State::Failed;
  case State::RequestLine:
    if (c == '\r')
      return State::LineEnd;
    return c == '\n' ? State::Failed : State::RequestLine;
  case State::StatusLine:
    return nextInStatusLine(c);
  case State::Reason:
  case State::Value:
    if (c == '\r')
      return State::LineEnd;
    return isTextChar(c) ? At : State::Failed;
  case State::LineStart:
    if (c == '\r')
      return State::HeadEnd;
    return isTokenChar(c) ? State::Name : State::Failed;
  case State::Name:
    if (c == ':')
      return State::Value;
    return isTokenChar(c) ? State::Name : State::Failed;
  case State::LineEnd:
    return c == '\n' ? State::LineStart : State::Failed;
  case State::HeadEnd:
    return c == '\n' ? State::Complete : State::Failed;
  case State::Complete:
  case State::Failed:
    break;
  }
  return At;
}

HttpHeadSyntax::State HttpHeadSyntax::nextInStatusLine(char c) {
  if (StatusLineBytes == StatusLinePattern.size()) {
    // Some servers leave out the blank before an empty reason phrase.
    if (c == '\r')
      return State::LineEnd;
    return c == ' ' ? State::Reason : State::Failed;
  }
  if (!matchesPattern(StatusLineBytes, c))
    return State::Failed;
  if (StatusLineBytes >= StatusAt)
    Status = Status * 10 + (c - '0');
  ++StatusLineBytes;
  return StatusLineBytes < StatusLinePattern.size() || isAllowedStatus(Status)
             ? State::StatusLine
             : State::Failed;
}

bool matchesStatusLine(std::string_view bytes) {
  const std::size_t n = std::min(bytes.size(), StatusLinePattern.size());
  for (std::size_t i = 0; i < n; ++i)
    if (!matchesPattern(i, bytes[i]))
      return false;
  return bytes.size() <= n || bytes[n] == ' ' || bytes[n] == '\r';
}

} // namespace bergamot::base
