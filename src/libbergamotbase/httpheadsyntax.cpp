#include "libbergamotbase/httpheadsyntax.h"

#include "libbergamotbase/responsestatus.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace bergamot::base {

namespace {

/// A status line up to the end of the status; `d` stands for a digit.
constexpr std::string_view StatusLinePattern = "HTTP/1.d ddd";
constexpr std::size_t StatusAt = StatusLinePattern.find("ddd");

/// What a character may be part of, as bits.
enum CharClass : std::uint8_t { TokenClass = 1, TextClass = 2 };

constexpr bool isDigit(char c) { return c >= '0' && c <= '9'; }

constexpr std::uint8_t classesOf(unsigned char byte) {
  constexpr std::string_view TokenPunctuation = "!#$%&'*+-.^_`|~";
  constexpr unsigned char Delete = 0x7f;
  const char c = static_cast<char>(byte);
  const bool isToken = isDigit(c) || (c >= 'a' && c <= 'z') ||
                       (c >= 'A' && c <= 'Z') ||
                       TokenPunctuation.find(c) != std::string_view::npos;
  const bool isText = c == '\t' || (byte >= ' ' && byte != Delete);
  return static_cast<std::uint8_t>((isToken ? TokenClass : 0) |
                                   (isText ? TextClass : 0));
}

/// The classes of each character. Heads are most of what an entry parses.
constexpr auto CharClasses = [] {
  std::array<std::uint8_t, 256> classes{};
  for (std::size_t i = 0; i < classes.size(); ++i)
    classes[i] = classesOf(static_cast<unsigned char>(i));
  return classes;
}();

bool isOfClass(char c, CharClass wanted) {
  return (CharClasses[static_cast<unsigned char>(c)] & wanted) != 0;
}

std::size_t countLeading(std::string_view bytes, CharClass wanted) {
  std::size_t n = 0;
  while (n < bytes.size() && isOfClass(bytes[n], wanted))
    ++n;
  return n;
}

bool matchesPattern(std::size_t at, char c) {
  return StatusLinePattern[at] == 'd' ? isDigit(c) : c == StatusLinePattern[at];
}

} // namespace

bool isTokenChar(char c) { return isOfClass(c, TokenClass); }

bool isTextChar(char c) { return isOfClass(c, TextClass); }

HttpHeadSyntax::HttpHeadSyntax(Beginning beginning)
    : At(beginning == Beginning::Request    ? State::EmptyLine
         : beginning == Beginning::Response ? State::StatusLine
                                            : State::LineStart) {}

std::size_t HttpHeadSyntax::push(std::string_view bytes) {
  std::size_t n = 0;
  while (n < bytes.size() && At != State::Complete && At != State::Failed) {
    n += countUnchanging(bytes.substr(n));
    if (n < bytes.size())
      At = next(bytes[n++]);
  }
  return n;
}

/// Returns how many of the next bytes leave the state as it is.
std::size_t HttpHeadSyntax::countUnchanging(std::string_view bytes) const {
  if (At == State::Name)
    return countLeading(bytes, TokenClass);
  if (At == State::Value || At == State::Reason)
    return countLeading(bytes, TextClass);
  return 0;
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
    return c == '\r' ? State::LineEnd : State::Failed;
  case State::LineStart:
    if (c == '\r')
      return State::HeadEnd;
    return isTokenChar(c) ? State::Name : State::Failed;
  case State::Name:
    return c == ':' ? State::Value : State::Failed;
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
