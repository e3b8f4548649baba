#ifndef BERGAMOT_LIBBERGAMOTBASE_URLQUERY_H
#define BERGAMOT_LIBBERGAMOTBASE_URLQUERY_H

#include <optional>
#include <string>
#include <string_view>

namespace bergamot::base {

/// Returns the value of one parameter of a query such as "from=3&limit=10",
/// or the fallback if it is absent. The value isn't percent-decoded.
std::string queryParameter(std::string_view query, std::string_view name,
                           std::string_view fallback = {});

/// Returns a text with its percent-encoded bytes decoded (RFC 3986, 2.1), or
/// nullopt if a percent sign isn't followed by two hexadecimal digits.
std::optional<std::string> percentDecoded(std::string_view text);

} // namespace bergamot::base

#endif
