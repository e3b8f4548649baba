#ifndef BERGAMOT_ADAPTERENGINE_RESPONSEJSON_H
#define BERGAMOT_ADAPTERENGINE_RESPONSEJSON_H

#include "adapterhttp/httpmessage.h"
#include "libbergamotbase/error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace bergamot::adapterengine {

/// Returns what the function reads from the JSON body of a response. Throws
/// base::Error with step Answer if the status is not 200 or the body lacks
/// what the function looks for.
template <typename Function>
auto parseResponse(const std::string &peer,
                   const adapterhttp::HttpResponse &response,
                   Function function) {
  if (response.Status != 200)
    throw base::Error(base::Step::Answer, peer,
                      peer + " answered with status " +
                          std::to_string(response.Status));
  try {
    return function(nlohmann::json::parse(response.Body));
  } catch (const nlohmann::json::exception &e) {
    throw base::Error(base::Step::Answer, peer, peer + ": " + e.what());
  }
}

} // namespace bergamot::adapterengine

#endif
