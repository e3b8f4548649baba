#ifndef BERGAMOT_STANDIN_EXCHANGE_H
#define BERGAMOT_STANDIN_EXCHANGE_H

#include "adapterhttp/httpmessage.h"
#include "adapterhttp/httpresponder.h"
#include "libbergamotbase/timetypes.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::standin {

/// One request to a stand-in with the faults that apply to its response.
class Exchange {
public:
  Exchange(const adapterhttp::HttpRequest &request,
           adapterhttp::HttpResponder &responder,
           const std::atomic<bool> &stopping);

  const adapterhttp::HttpRequest &Request;
  adapterhttp::HttpResponder &Responder;

  /// The parts of the path between slashes.
  std::vector<std::string> Path;

  /// Cuts the response after the effect.
  bool LosesAnswer = false;

  /// Returns whether the method and the path are these. A part of "*" in the
  /// pattern stands for any one part.
  bool is(std::string_view method, std::string_view pattern) const;

  /// Returns the body as JSON. Throws base::Error with step Parse.
  nlohmann::json body() const;

  /// Returns a number of the query, or the fallback. Throws base::Error with
  /// step Parse.
  std::uint64_t number(std::string_view name, std::uint64_t fallback) const;

  /// Sends a JSON response.
  void answer(int status, const nlohmann::json &body,
              std::vector<adapterhttp::HttpHeader> headers = {});

  /// Sends a response with other content.
  void answerBytes(int status, std::string_view bytes,
                   const std::vector<adapterhttp::HttpHeader> &headers);

  /// Sends a problem document.
  void answerProblem(int status, std::string_view detail,
                     std::vector<adapterhttp::HttpHeader> headers = {});

  /// Waits until the time. Returns false as soon as the client has left or
  /// the stand-in stops.
  bool waitUntil(base::TimePoint time) const;

  /// Returns whether nobody waits for the response any more.
  bool isAbandoned() const;

private:
  const std::atomic<bool> &Stopping;
};

} // namespace bergamot::standin

#endif
