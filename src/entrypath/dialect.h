#ifndef BERGAMOT_ENTRYPATH_DIALECT_H
#define BERGAMOT_ENTRYPATH_DIALECT_H

#include "adaptertcp/httpmessage.h"
#include "libbergamotbase/timetypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace bergamot::entrypath {

/// The size of a generation, as its caller states it.
struct GenerationSize {
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// The caller's estimate of the output; unset if it gave none.
  std::optional<std::uint32_t> ExpectedOutputTokens;
};

/// What the headers of a caller's request say.
struct CallerRequest {
  std::string Id;
  std::optional<std::string> Key;
  /// How long the caller waits.
  std::optional<std::chrono::milliseconds> TimeLeft;
  std::optional<GenerationSize> Generation;
  /// The caller has received a part of the stream and wants the rest.
  bool ContinuesStream = false;
  std::string Host;
};

/// What the headers of a target's response say.
struct TargetResponse {
  std::optional<std::string> RequestId;
  /// The target states that it hasn't executed the request.
  bool NotExecuted = false;
  /// Another instance has the address and hasn't executed the request.
  bool Misdirected = false;
  /// The response bears the target's signature.
  bool IsSigned = false;
  /// How long the target stays cold.
  std::optional<std::chrono::milliseconds> ColdFor;
  /// The target is leaving and takes no new work.
  bool IsLeaving = false;
  /// How long the target wants no requests from this process.
  std::optional<std::chrono::milliseconds> RestFor;
  /// The target stated a rest that can't be read.
  bool HasInvalidRest = false;
  /// How long the target keeps an idle connection.
  std::optional<std::chrono::milliseconds> KeepAliveFor;
};

/// What the system tells a target with one attempt.
struct AttemptFields {
  std::string TargetId;
  std::chrono::milliseconds TimeLeft{0};
  /// Continue the stream behind this event.
  std::optional<std::string> ResumeAfter;
};

/// Names and formats of the headers that callers, the system and targets
/// exchange. The path knows requests only through this port. It is a virtual
/// interface because a process has one dialect, and a template would put the
/// whole path into headers.
class Dialect {
public:
  virtual ~Dialect() = default;

  virtual CallerRequest
  decodeRequest(const adaptertcp::RequestHead &head) const = 0;
  virtual TargetResponse
  decodeResponse(const adaptertcp::ResponseHead &head) const = 0;
  /// Removes what targets mustn't see and what only the system may set, and
  /// adds the client account's name.
  virtual void prepareForwarding(adaptertcp::HeaderFields &headers,
                                 const std::string &account) const = 0;
  /// Sets the fields that differ from attempt to attempt.
  virtual void setAttemptFields(adaptertcp::HeaderFields &headers,
                                const AttemptFields &fields) const = 0;
  /// Adds the request's id to a response of the system's own.
  virtual void setRequestId(adaptertcp::HeaderFields &headers,
                            const std::string &id) const = 0;
};

} // namespace bergamot::entrypath

#endif
