#ifndef BERGAMOT_ADAPTERTCP_HTTPMESSAGE_H
#define BERGAMOT_ADAPTERTCP_HTTPMESSAGE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::adaptertcp {

/// One header field as received.
struct HeaderField {
  std::string Name;
  std::string Value;
};

/// The header fields of a message in the order received. Names are compared
/// case-insensitively.
class HeaderFields {
public:
  /// Returns the value of the first field with this name, or nullopt if there
  /// is none.
  std::optional<std::string_view> value(std::string_view name) const;
  /// Returns the number of fields with this name.
  std::size_t count(std::string_view name) const;
  void add(std::string_view name, std::string_view value);
  /// Removes all fields with this name.
  void remove(std::string_view name);
  /// Replaces all fields with this name by a single one.
  void set(std::string_view name, std::string_view value);
  /// Removes the hop-by-hop fields (RFC 9110, 7.6.1): the well-known ones,
  /// those listed in Connection, and the fields that frame the body.
  void removeHopByHopFields();

  const std::vector<HeaderField> &fields() const { return Fields; }
  std::vector<HeaderField> &fields() { return Fields; }
  void clear() { Fields.clear(); }

private:
  std::vector<HeaderField> Fields;
};

/// Compares two names case-insensitively (ASCII only).
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// Returns whether a response with this status has a body, unless it responds
/// to HEAD.
bool mayHaveBody(int status);

/// Returns whether a text is a token (RFC 9110, 5.6.2), such as the name of a
/// field.
bool isToken(std::string_view text);

/// Parses a decimal number. Returns nullopt unless the whole text is one.
std::optional<std::int64_t> parseNumber(std::string_view text);

/// Request line and header fields of a request.
struct RequestHead {
  std::string Method;
  std::string Target;
  HeaderFields Headers;
  bool KeepAlive = true;
};

/// Status line and header fields of a response.
struct ResponseHead {
  int Status = 0;
  HeaderFields Headers;
  bool KeepAlive = true;
  /// Length of the body in bytes; unset if the body is chunked or delimited by
  /// the end of the connection.
  std::optional<std::uint64_t> Length;
};

/// Serializes a request: request line, header fields, empty line and body. Adds
/// Content-Length unless the body is empty and the method is GET or HEAD.
std::string requestText(const RequestHead &head, std::string_view body);

/// How the body of a response is framed.
enum class Framing { Length, Chunked };

/// Serializes the head of a response: status line, header fields and empty
/// line. With Framing::Length, `length` is sent as Content-Length. A status
/// that forbids a body has neither field.
std::string responseText(const ResponseHead &head, Framing framing,
                         std::uint64_t length, bool keepAlive);

/// Appends one chunk of a chunked body.
void appendChunk(std::string &out, std::string_view bytes);

/// Terminates a chunked body.
constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace bergamot::adaptertcp

#endif
