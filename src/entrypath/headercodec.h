#ifndef BERGAMOT_ENTRYPATH_HEADERCODEC_H
#define BERGAMOT_ENTRYPATH_HEADERCODEC_H

#include "adaptertcp/httpmessage.h"
#include "libbergamotbase/timetypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::entrypath {

/// The token counts of a generation request, as stated by the caller.
struct GenerationTokens {
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// The caller's estimate of the output length; unset if it gave none.
  std::optional<std::uint32_t> ExpectedOutputTokens;
};

/// The decoded headers of a caller's request.
struct CallerRequest {
  std::string Id;
  std::optional<std::string> ApiKey;
  /// How much longer the caller waits for the response.
  std::optional<std::chrono::milliseconds> TimeLeft;
  std::optional<GenerationTokens> Generation;
  /// The ids of the prompt's parts that other requests may share, in their
  /// order: all but the last, which is the request's own.
  std::vector<std::string> SharedPromptParts;
  /// The caller has received part of the stream and requests the rest.
  bool ContinuesStream = false;
  std::string Host;
};

/// The decoded headers of a target's response.
struct TargetResponse {
  std::optional<std::string> RequestId;
  /// The target states that it hasn't executed the request.
  bool NotExecuted = false;
  /// Another instance now has the target's address and hasn't executed the
  /// request.
  bool Misdirected = false;
  /// The response has the header with the target's signature. Its value isn't
  /// verified; a successful response without it isn't relayed.
  bool HasTargetSignature = false;
  /// How long the target remains cold.
  std::optional<std::chrono::milliseconds> ColdFor;
  /// The target is draining: it accepts no new requests.
  bool IsDraining = false;
  /// How long this entry must not send requests to the target.
  std::optional<std::chrono::milliseconds> BackoffFor;
  /// The target stated a back-off that can't be parsed.
  bool HasInvalidBackoff = false;
  /// Requests per second that the target takes from all entries together;
  /// unset if it names no limit.
  std::optional<double> RequestRateLimit;
  /// The target stated a request rate that can't be parsed.
  bool HasInvalidRateLimit = false;
  /// How long the target keeps an idle connection open.
  std::optional<std::chrono::milliseconds> KeepAliveFor;
};

/// The headers whose values differ between the attempts of a request.
struct AttemptHeaders {
  std::string TargetId;
  std::chrono::milliseconds TimeLeft{0};
  /// The id of the event after which the stream is to be resumed.
  std::optional<std::string> ResumeAfter;
};

/// Decodes and sets the headers that callers, the load balancer and targets
/// exchange. The rest of the entry path is independent of their names and
/// formats. This is a virtual interface although a process uses only one
/// implementation, because a template would move the whole entry path into
/// header files.
class HeaderCodec {
public:
  virtual ~HeaderCodec() = default;

  virtual CallerRequest
  decodeRequest(const adaptertcp::RequestHead &head) const = 0;
  virtual TargetResponse
  decodeResponse(const adaptertcp::ResponseHead &head) const = 0;
  /// Returns whether a field of a target's response is one whose meaning this
  /// version knows, even if it makes no use of it.
  virtual bool isKnownResponseField(std::string_view name) const = 0;
  /// Removes the headers that targets mustn't see and those that only the load
  /// balancer may set, and adds the client account's name.
  virtual void prepareForwarding(adaptertcp::HeaderFields &headers,
                                 const std::string &account) const = 0;
  /// Sets the headers of one attempt.
  virtual void setAttemptHeaders(adaptertcp::HeaderFields &headers,
                                 const AttemptHeaders &fields) const = 0;
  /// Adds the request's id to a response that the load balancer itself
  /// generates.
  virtual void setRequestId(adaptertcp::HeaderFields &headers,
                            const std::string &id) const = 0;
};

} // namespace bergamot::entrypath

#endif
