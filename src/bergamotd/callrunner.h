#ifndef BERGAMOT_BERGAMOTD_CALLRUNNER_H
#define BERGAMOT_BERGAMOTD_CALLRUNNER_H

#include "adapterhttp/httpresponder.h"
#include "bergamotd/answerchannel.h"
#include "bergamotd/callerrequest.h"
#include "bergamotd/requesttable.h"
#include "bergamotd/targettable.h"
#include "libbergamotbase/metrics.h"

#include <optional>
#include <vector>

namespace bergamot::bergamotd {

/// What all calls of an entry share.
struct CallContext {
  TargetTable &Targets;
  RequestTable &Requests;
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
  std::string ContentType;
  /// The body if it was delivered in one piece, else empty.
  std::string Body;
};

/// Permits the dispatches of a call that must run at most once.
class DispatchGate {
public:
  virtual ~DispatchGate() = default;

  /// Returns whether the call may be dispatched now.
  virtual bool takeDispatch() = 0;

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
  enum class Next { Done, Retry };

  void startAttempt();
  void logChoice() const;
  void sendDispatch();
  Next followAttempt();
  AnswerEvent nextEvent();
  Next takeEvent(AnswerEvent event, bool &hasEnded);
  Next takeRefused(const AttemptRefused &refused);
  Next takeFailed(const AttemptFailed &failed);
  void takeHead(AnswerHead head);
  bool takeBytes(const std::string &bytes);
  void takeEnd(const AnswerEnd &end);
  bool canResume() const;
  bool mustStart() const;
  void startResponse();
  bool writePending();
  void sendWindow();
  void cancelAttempt();
  void endAttempt();
  [[noreturn]] void giveUp(int status, base::Step step,
                           const std::string &detail);

  CallContext Context;
  const CallerRequest &Call;
  adapterhttp::HttpResponder &Responder;
  /// Null for a call without a claim.
  DispatchGate *Gate;

  std::uint32_t Attempt = 0;
  std::uint32_t FailedAttempts = 0;
  TargetChoice Choice;
  RequestTable::ChannelPtr Channel;
  std::vector<base::TargetId> Tried;
  std::optional<std::chrono::milliseconds> RetryAfter;

  std::optional<AnswerHead> Head;
  std::string Pending;
  std::uint64_t Delivered = 0;
  std::uint64_t WindowSent = 0;
  bool IsStarted = false;
  CallResult Result;
};

} // namespace bergamot::bergamotd

#endif
