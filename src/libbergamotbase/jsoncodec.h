#ifndef BERGAMOT_LIBBERGAMOTBASE_JSONCODEC_H
#define BERGAMOT_LIBBERGAMOTBASE_JSONCODEC_H

#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <exception>
#include <optional>
#include <string>

namespace bergamot::base {

/// Encodes a message as CBOR, the format of messages between the daemons.
inline std::string toCbor(const nlohmann::json &message) {
  const auto bytes = nlohmann::json::to_cbor(message);
  return {bytes.begin(), bytes.end()};
}

/// Returns the result of `decode`. If it throws because the input is malformed,
/// logs a warning with `event` and `what` and returns nullopt.
template <typename T, typename Decode>
std::optional<T> readJson(const char *event, const char *what, Decode decode) {
  try {
    return decode();
  } catch (const std::exception &e) {
    logWarning(event, {{"what", what}, {"error", e.what()}});
    return std::nullopt;
  }
}

} // namespace bergamot::base

#endif
