#ifndef BERGAMOT_LIBBERGAMOTBASE_HTTPHEADSYNTAX_H
#define BERGAMOT_LIBBERGAMOTBASE_HTTPHEADSYNTAX_H

#include <cstddef>
#include <string_view>

namespace bergamot::base {

/// Returns whether a character may be part of a token (RFC 9110, 5.6.2), such
/// as the name of a field.
bool isTokenChar(char c);

/// Returns whether a character may be part of a field's value, a reason phrase
/// or a chunk extension: blanks, printable ASCII and all bytes beyond ASCII.
bool isTextChar(char c);

/// Checks the head of an HTTP/1 message byte by byte as it arrives. It is used
/// before an HTTP library, since these accept heads that others read
/// differently or that HTTP doesn't allow: a status that isn't defined, a
/// switch of protocols that nobody asked for, names and values with characters
/// that they can't have, folded fields, and lines that don't end with CRLF.
class HttpHeadSyntax {
public:
  /// What the checked bytes begin with.
  enum class Beginning {
    /// A request, possibly after empty lines. The request line is left to the
    /// library.
    Request,
    Response,
    /// The fields alone, as in the trailer of a chunked body.
    Fields,
  };

  explicit HttpHeadSyntax(Beginning beginning);

  /// Checks further bytes, up to the end of the head. Returns how many of them
  /// belong to the head; meaningless once hasFailed().
  std::size_t push(std::string_view bytes);

  /// Returns whether the empty line that ends the head has been checked.
  bool isComplete() const { return At == State::Complete; }
  bool hasFailed() const { return At == State::Failed; }

private:
  enum class State {
    EmptyLine,
    EmptyLineEnd,
    RequestLine,
    StatusLine,
    Reason,
    LineStart,
    Name,
    Value,
    LineEnd,
    HeadEnd,
    Complete,
    Failed,
  };

  std::size_t countUnchanging(std::string_view bytes) const;
  State next(char c);
  State nextInStatusLine(char c);

  State At;
  /// Bytes of the status line before its reason phrase that have been checked.
  std::size_t StatusLineBytes = 0;
  int Status = 0;
};

/// Returns whether bytes are the beginning of a status line of HTTP/1, or begin
/// with one: the version, a blank, three digits, and a blank or the end of the
/// line. The status needn't be one that HTTP allows.
bool matchesStatusLine(std::string_view bytes);

} // namespace bergamot::base

#endif
