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

/// The header fields of a message in their order. Names compare without case.
class HeaderFields {
public:
  /// Returns the value of the first field with this name; unset if there is
  /// none.
  std::optional<std::string_view> value(std::string_view name) const;
  /// Returns how many fields have this name.
  std::size_t count(std::string_view name) const;
  void add(std::string_view name, std::string_view value);
  /// Removes all fields with this name.
  void remove(std::string_view name);
  /// Replaces all fields with this name by one.
  void set(std::string_view name, std::string_view value);
  /// Removes the fields that concern one connection only (RFC 9110, 7.6.1),
  /// those that Connection names, and the framing of the body.
  void removeConnectionFields();

  const std::vector<HeaderField> &fields() const { return Fields; }
  std::vector<HeaderField> &fields() { return Fields; }
  void clear() { Fields.clear(); }

private:
  std::vector<HeaderField> Fields;
};

/// Returns whether two names are equal, without case.
bool equalNames(std::string_view a, std::string_view b);

/// Parses a decimal number that fills the whole text; unset if it doesn't.
std::optional<std::int64_t> parseNumber(std::string_view text);

/// The first part of a request.
struct RequestHead {
  std::string Method;
  std::string Target;
  HeaderFields Headers;
  bool KeepAlive = true;
};

/// The first part of a response.
struct ResponseHead {
  int Status = 0;
  HeaderFields Headers;
  bool KeepAlive = true;
  /// Length of the body; unset if it is sent in chunks or ends with the
  /// connection.
  std::optional<std::uint64_t> Length;
};

/// Returns the request line, the fields and the empty line. The body's length
/// is stated if there is a body or the method usually has one.
std::string requestText(const RequestHead &head, std::string_view body);

/// How the body of a response is framed.
enum class Framing { Length, Chunks };

/// Returns the status line, the fields and the empty line.
std::string responseText(const ResponseHead &head, Framing framing,
                         std::uint64_t length, bool keepAlive);

/// Appends one chunk of a chunked body.
void appendChunk(std::string &out, std::string_view bytes);

/// The end of a chunked body.
constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace bergamot::adaptertcp

#endif
