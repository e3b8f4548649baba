#ifndef BERGAMOT_ENTRYPATH_DIALECT_H
#define BERGAMOT_ENTRYPATH_DIALECT_H

#include "adaptertcp/httpmessage.h"
#include "libbergamotbase/timetypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace bergamot::entrypath {

/// The size of a text generation, as stated by the caller.
struct GenerationSize {
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// The caller's estimate of the output length; unset if it gave none.
  std::optional<std::uint32_t> ExpectedOutputTokens;
};

/// The decoded headers of a caller's request.
struct CallerRequest {
  std::string Id;
  std::optional<std::string> Key;
  /// How long the caller waits for the response.
  std::optional<std::chrono::milliseconds> TimeLeft;
  std::optional<GenerationSize> Generation;
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
  /// The response has a signature header of the target.
  bool IsSigned = false;
  /// How long the target remains cold.
  std::optional<std::chrono::milliseconds> ColdFor;
  /// The target is shutting down and accepts no new requests.
  bool IsLeaving = false;
  /// How long the target asks this process to send it no requests.
  std::optional<std::chrono::milliseconds> BackoffFor;
  /// The target stated a back-off that can't be parsed.
  bool HasInvalidBackoff = false;
  /// How long the target keeps an idle connection open.
  std::optional<std::chrono::milliseconds> KeepAliveFor;
};

/// The header fields that are specific to one attempt.
struct AttemptFields {
  std::string TargetId;
  std::chrono::milliseconds TimeLeft{0};
  /// The id of the event after which the stream is to be resumed.
  std::optional<std::string> ResumeAfter;
};

/// Names and formats of the headers that callers, the system and targets
/// exchange. The rest of the entry path depends only on this interface. It is
/// virtual because a process has a single dialect, and a template would move
/// the whole entry path into headers.
class Dialect {
public:
  virtual ~Dialect() = default;

  virtual CallerRequest
  decodeRequest(const adaptertcp::RequestHead &head) const = 0;
  virtual TargetResponse
  decodeResponse(const adaptertcp::ResponseHead &head) const = 0;
  /// Removes the headers that targets mustn't see and those that only the
  /// system may set, and adds the client account's name.
  virtual void prepareForwarding(adaptertcp::HeaderFields &headers,
                                 const std::string &account) const = 0;
  /// Sets the fields that are specific to one attempt.
  virtual void setAttemptFields(adaptertcp::HeaderFields &headers,
                                const AttemptFields &fields) const = 0;
  /// Adds the request's id to a response that the system itself generates.
  virtual void setRequestId(adaptertcp::HeaderFields &headers,
                            const std::string &id) const = 0;
};

} // namespace bergamot::entrypath

#endif
