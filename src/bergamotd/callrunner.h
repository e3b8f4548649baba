#ifndef BERGAMOT_BERGAMOTD_CALLRUNNER_H
#define BERGAMOT_BERGAMOTD_CALLRUNNER_H

#include "adapterhttp/httpresponder.h"
#include "bergamotd/answerstream.h"
#include "bergamotd/callerrequest.h"
#include "bergamotd/requesttable.h"
#include "bergamotd/retrygate.h"
#include "bergamotd/targettable.h"
#include "bergamotd/waitingroom.h"
#include "libbergamotbase/metrics.h"

#include <memory>
#include <optional>
#include <vector>

namespace bergamot::bergamotd {

/// What all calls of an entry share.
struct CallContext {
  TargetTable &Targets;
  RequestTable &Requests;
  AnswerMemory &Memory;
  WaitingRoom &Room;
  RetryGate &Retries;
  base::Metrics &Metrics;
};

/// How a call ended, for the claim's outcome and the log.
struct CallResult {
  Executed ExecutedState = Executed::No;
  bool IsComplete = false;
  bool IsClientGone = false;
  int Status = 0;
  std::uint64_t Bytes = 0;
  std::uint32_t Attempts = 0;
  /// Target of the last attempt.
  base::TargetId Target;
  std::string ContentType;
  /// The body if it was delivered in one piece, else empty.
  std::string Body;
};

/// Permits the dispatches of a call that must run at most once.
class DispatchGate {
public:
  virtual ~DispatchGate() = default;

  /// Returns whether the call may be dispatched now.
  virtual bool takeDispatchPermit() = 0;

  /// Takes proof that the last dispatch executed nothing.
  virtual void setRefused() = 0;
};

/// Serves one call: sends attempts to targets, checks the answer and hands it
/// to the caller. Used by one thread.
class CallRunner {
public:
  CallRunner(CallContext context, const CallerRequest &call,
             adapterhttp::HttpResponder &responder, DispatchGate *gate);

  /// Runs the call to its end. Throws ProblemError if no answer was started,
  /// so that the caller can still get a problem document.
  CallResult run();

private:
  enum class Next { Continue, Done, Retry };

  void startAttempt();
  void chooseTarget();
  void logChoice(std::uint64_t offset) const;
  void sendDispatch(std::uint64_t offset);
  Next followAttempt();
  AnswerEvent nextEvent();
  Next takeEvent(const AnswerEvent &event);
  Next takeRefused(const AttemptRefused &refused);
  Next takeFailed(const AttemptFailed &failed);
  Next retryOrGiveUp(Executed outcome, bool bytesSent,
                     const std::string &detail);
  Next takeHead(const AnswerHead &head);
  Next takeBytes(const std::string &bytes);
  Next takeEnd();
  Next leaveCaller();
  bool isResumable() const;
  void startResponse(std::optional<std::size_t> length);
  void sendWindow();
  void cancelAttempt();
  void endAttempt();
  wire::Envelope addressed(wire::Envelope message) const;
  [[noreturn]] void giveUp(int status, base::Step step,
                           const std::string &detail);

  CallContext Context;
  const CallerRequest &Call;
  adapterhttp::HttpResponder &Responder;
  /// Null for a call without a claim.
  DispatchGate *Gate;

  std::shared_ptr<AnswerStream> Stream;
  std::uint32_t Attempt = 0;
  std::uint32_t RefusedAttempts = 0;
  TargetChoice Choice;
  std::vector<base::TargetId> Tried;
  std::optional<std::chrono::milliseconds> RetryAfter;
  base::TimePoint DispatchedAt;
  std::optional<AnswerHead> Head;
  CallResult Result;
};

} // namespace bergamot::bergamotd

#endif
