#ifndef BERGAMOT_ADAPTERENGINE_BACKEND_H
#define BERGAMOT_ADAPTERENGINE_BACKEND_H

#include "adapterhttp/httpclient.h"
#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::adapterengine {

/// One request to an engine or a plain service.
struct BackEndCall {
  std::string Method;
  /// Path with an optional query.
  std::string Target;
  std::vector<adapterhttp::HttpHeader> Headers;
  std::string Body;
  /// Names the stream at an engine; sent as X-Request-Id if not empty.
  base::RequestId Id;
};

/// When a call ends at the latest.
struct CallDeadlines {
  /// For the head of the response.
  base::TimePoint Head;
  /// For the whole response.
  base::TimePoint Whole;
  /// Longest wait for one piece of the body, so that a silent connection ends
  /// before the whole time has passed.
  std::chrono::milliseconds PieceTimeout{30000};
};

/// Receives a response. A function that returns false ends the call.
struct ResponseSink {
  std::function<bool(int status,
                     const std::vector<adapterhttp::HttpHeader> &headers)>
      Head;
  std::function<bool(std::string_view piece)> Piece;
};

/// Lets another thread end a call at any point.
using CallCancel = adapterhttp::HttpCancel;

/// What a back end says of its load. KvTokens are 0 for a plain service.
struct BackEndLoad {
  base::Incarnation BackEnd;
  std::uint32_t Running = 0;
  std::uint64_t KvTokensUsed = 0;
  std::uint64_t KvTokensTotal = 0;
  bool Cold = false;
  /// When the load was as reported, by the back end's clock.
  base::WallTime Time;
};

/// Access to a back end over HTTP. Safe to use from several threads. All
/// functions throw adapterhttp::HttpClientError, which states whether any
/// byte of the request may have been sent, or base::Error for a response that
/// can't be understood.
class HttpBackEnd {
public:
  /// The endpoint is an IP address with a port.
  explicit HttpBackEnd(const std::string &endpoint) : Client(endpoint) {}

  /// Runs a call and gives the response to the sink as it arrives. Returns
  /// true after a complete response, false if the sink ended the call.
  bool run(const BackEndCall &call, const CallDeadlines &deadlines,
           const ResponseSink &sink, CallCancel &cancel);

  /// Returns the load that the back end reports.
  BackEndLoad load(base::TimePoint deadline);

  const std::string &endpoint() const { return Client.endpoint(); }

protected:
  adapterhttp::HttpClient Client;
};

/// Access to a plain service.
template <typename T>
concept ServicePort = requires(T &port, const BackEndCall &call,
                               const CallDeadlines &deadlines,
                               const ResponseSink &sink, CallCancel &cancel,
                               base::TimePoint deadline) {
  { port.run(call, deadlines, sink, cancel) } -> std::same_as<bool>;
  { port.load(deadline) } -> std::same_as<BackEndLoad>;
};

static_assert(ServicePort<HttpBackEnd>);

} // namespace bergamot::adapterengine

#endif
