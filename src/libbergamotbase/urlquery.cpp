#include "libbergamotbase/urlquery.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"

#include <algorithm>

namespace bergamot::base {

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

std::optional<std::string> percentDecoded(std::string_view text) {
  std::string decoded;
  while (!text.empty()) {
    const std::size_t plain = std::min(text.find('%'), text.size());
    decoded.append(text.substr(0, plain));
    text.remove_prefix(plain);
    if (text.empty())
      break;
    const std::string_view digits = text.substr(1, 2);
    if (digits.size() < 2)
      return std::nullopt;
    try {
      decoded.append(fromHex(std::string(digits)));
    } catch (const Error &) {
      return std::nullopt;
    }
    text.remove_prefix(1 + digits.size());
  }
  return decoded;
}

} // namespace bergamot::base
