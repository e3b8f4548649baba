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

/// A request to an engine or a plain HTTP service.
struct BackEndCall {
  std::string Method;
  /// Request target: path with an optional query.
  std::string Target;
  std::vector<adapterhttp::HttpHeader> Headers;
  std::string Body;
  /// Identifies the stream at an engine; sent as X-Request-Id if not empty.
  base::RequestId Id;
};

/// Deadlines of a call.
struct CallDeadlines {
  /// Deadline for the status line and headers of the response.
  base::TimePoint Head;
  /// Deadline for the complete response.
  base::TimePoint Response;
  /// Maximum time for one read of the body, so that a stalled connection fails
  /// before the response deadline.
  std::chrono::milliseconds ReadTimeout{30000};
};

/// Callbacks that receive a response as it arrives. A callback that returns
/// false aborts the call.
struct ResponseSink {
  std::function<bool(int status,
                     const std::vector<adapterhttp::HttpHeader> &headers)>
      Head;
  std::function<bool(std::string_view data)> BodyData;
};

/// Lets another thread cancel a call at any point.
using CancellationToken = adapterhttp::HttpCancel;

/// Load report of a back end. The KvTokens members are 0 for a plain service.
struct BackEndLoad {
  base::Incarnation BackEndIncarnation;
  std::uint32_t Running = 0;
  std::uint64_t KvTokensUsed = 0;
  std::uint64_t KvTokensTotal = 0;
  bool IsCold = false;
  /// Time at which the reported load was measured, by the back end's clock.
  base::WallTime ReportTime;
};

/// HTTP client of a back end. Thread-safe. All functions throw
/// adapterhttp::HttpClientError, which states whether any byte of the request
/// may have been sent, or base::Error if the response can't be parsed.
class HttpBackEnd {
public:
  /// The endpoint is an IP address with a port.
  explicit HttpBackEnd(const std::string &endpoint) : Client(endpoint) {}

  /// Sends the request and passes the response to the sink as it arrives.
  /// Returns true after a complete response, false if the sink aborted the
  /// call.
  bool run(const BackEndCall &call, const CallDeadlines &deadlines,
           const ResponseSink &sink, CancellationToken &cancel);

  /// Requests the load report of the back end.
  BackEndLoad load(base::TimePoint deadline);

  const std::string &endpoint() const { return Client.endpoint(); }

protected:
  adapterhttp::HttpClient Client;
};

/// Requirements on the client of a plain service.
template <typename T>
concept ServiceApi = requires(T &client, const BackEndCall &call,
                              const CallDeadlines &deadlines,
                              const ResponseSink &sink,
                              CancellationToken &cancel,
                              base::TimePoint deadline) {
  { client.run(call, deadlines, sink, cancel) } -> std::same_as<bool>;
  { client.load(deadline) } -> std::same_as<BackEndLoad>;
};

static_assert(ServiceApi<HttpBackEnd>);

} // namespace bergamot::adapterengine

#endif
