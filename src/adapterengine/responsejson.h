#ifndef BERGAMOT_ADAPTERENGINE_RESPONSEJSON_H
#define BERGAMOT_ADAPTERENGINE_RESPONSEJSON_H

#include "adapterhttp/httpmessage.h"
#include "libbergamotbase/error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace bergamot::adapterengine {

/// Parses the JSON body of a response and returns the result of the reader.
/// Throws base::Error with step Answer if the status is not 200, the body isn't
/// JSON or the reader finds a field missing or of the wrong type.
template <typename Reader>
auto parseResponse(const std::string &peer,
                   const adapterhttp::HttpResponse &response, Reader reader) {
  if (response.Status != 200)
    throw base::Error(base::Step::Answer, peer,
                      peer + " returned status " +
                          std::to_string(response.Status));
  try {
    return reader(nlohmann::json::parse(response.Body));
  } catch (const nlohmann::json::exception &e) {
    throw base::Error(base::Step::Answer, peer, peer + ": " + e.what());
  }
}

} // namespace bergamot::adapterengine

#endif
