#ifndef BERGAMOT_LIBBERGAMOTBASE_HTTPHEADSYNTAX_H
#define BERGAMOT_LIBBERGAMOTBASE_HTTPHEADSYNTAX_H

#include <string_view>

namespace bergamot::base {

/// Returns whether a character may be part of a token (RFC 9110, 5.6.2), such
/// as the name of a field.
bool isTokenChar(char c);

/// Returns whether a character may be part of a field's value, a reason phrase
/// or a chunk extension: blanks, printable ASCII and all bytes beyond ASCII.
bool isTextChar(char c);

/// Returns whether bytes are the beginning of a status line of HTTP/1, or begin
/// with one: the version, a blank, three digits, and a blank or the end of the
/// line. The status needn't be one that HTTP allows.
bool matchesStatusLine(std::string_view bytes);

} // namespace bergamot::base

#endif
