#ifndef BERGAMOT_BERGAMOTD_CALLERREQUEST_H
#define BERGAMOT_BERGAMOTD_CALLERREQUEST_H

#include "adapterhttp/httpmessage.h"
#include "bergamotd/activeconfig.h"

#include <string>
#include <vector>

namespace bergamot::bergamotd {

/// What a caller asked for, checked against the configuration.
struct CallerRequest {
  base::RequestId Request;
  /// The caller's X-Request-Id, or the own request id.
  std::string CallerRequestId;
  base::AccountId Account;
  std::uint32_t Priority = 0;
  double Weight = 1;
  base::ServiceId Service;
  config::ServiceKind Kind = config::ServiceKind::Plain;
  std::string Method;
  /// Path and query at the back end.
  std::string Path;
  std::vector<adapterhttp::HttpHeader> Headers;
  std::string Body;
  /// Hashes of the prompt's prefixes by cache block, shortest first.
  std::vector<std::uint64_t> PromptBlocks;
  std::string IdempotencyKey;
  bool IsIdempotent = false;
  bool IsStreaming = false;
  /// Upper bound of KV-cache tokens or bytes that the request takes.
  std::uint64_t Units = 0;
  base::TimePoint Deadline;
};

/// Limits on callers' requests.
struct CallerLimits {
  std::chrono::milliseconds DefaultDeadline{60000};
  std::chrono::milliseconds LongestDeadline{600000};
};

/// Returns the request of a caller. Throws ProblemError if the key, the path,
/// the model, the deadline or the body is invalid.
CallerRequest parseCallerRequest(const adapterhttp::HttpRequest &http,
                                 const ActiveConfig &active,
                                 const CallerLimits &limits,
                                 base::RequestId request, base::TimePoint now);

/// Returns the account whose key the request carries. Throws ProblemError
/// with status 401 if there is none.
const config::ClientAccount &authenticate(const adapterhttp::HttpRequest &http,
                                          const ActiveConfig &active);

} // namespace bergamot::bergamotd

#endif
