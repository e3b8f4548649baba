#ifndef BERGAMOT_LIBBERGAMOTBASE_JSONCODEC_H
#define BERGAMOT_LIBBERGAMOTBASE_JSONCODEC_H

#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace bergamot::base {

/// Returns a message as CBOR, in which processes of the system talk.
inline std::string toCbor(const nlohmann::json &message) {
  const auto bytes = nlohmann::json::to_cbor(message);
  return {bytes.begin(), bytes.end()};
}

/// Returns what `read` decodes. If it throws, as the input is damaged, returns
/// an unset value and writes a warning that names `event` and `what`.
template <typename T, typename Read>
std::optional<T> readJson(const char *event, const char *what, Read read) {
  try {
    return read();
  } catch (const nlohmann::json::exception &e) {
    logWarning(event, {{"what", what}, {"error", e.what()}});
    return std::nullopt;
  }
}

} // namespace bergamot::base

#endif
