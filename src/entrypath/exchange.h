#ifndef BERGAMOT_ENTRYPATH_EXCHANGE_H
#define BERGAMOT_ENTRYPATH_EXCHANGE_H

#include "adaptertcp/messageparser.h"
#include "adaptertcp/responsesearch.h"
#include "entrypath/attempt.h"
#include "entrypath/connectionpool.h"
#include "entrypath/headercodec.h"
#include "libbergamotgateway/attemptpolicy.h"
#include "libbergamotgateway/eventsplitter.h"
#include "libbergamotgateway/promptsuspects.h"
#include "libbergamotgateway/routetable.h"
#include "libbergamotgateway/targetdirectory.h"
#include "libbergamotgateway/waitpolicy.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bergamot::entrypath {

class CallerConnection;
class Entry;

/// One caller's request from its arrival to the end of its response: checks it
/// against the configuration, queues it for a target, sends it, and relays the
/// response. All deadlines are points on the monotonic clock.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(Entry &entry, CallerConnection &caller, adaptertcp::RequestHead head,
           std::string body, base::TimePoint arrivedAt);
  ~Exchange();

  /// Responds to the request or adds it to its service's queue. Called again
  /// for a held request once the entry has read its first configuration.
  void start();
  /// Rejects the request because the first configuration didn't arrive in time.
  void rejectUnconfigured();
  /// Aborts all work after the caller has closed its connection.
  void onCallerDisconnected();
  /// Handles a suspension of the process: a queued request is rejected; the
  /// deadline of a dispatched one is moved earlier by `missedTime`, the part of
  /// the suspension that the monotonic clock didn't count.
  void handleSuspension(base::Duration missedTime);
  /// Ends the request because no more time is left for it: with 503 if no
  /// target can have run it, with 504 otherwise. A response that has started is
  /// aborted.
  void endUnserved(const char *reason);
  /// Aborts the attempt if the prompt is blocked and the target hasn't begun to
  /// respond, before it crashes.
  void abortIfBlocked();
  /// Resumes reading from the target, which pauses while bytes for the caller
  /// are unsent, once all bytes for the caller have been handed to the kernel.
  void onSendBufferEmpty();
  /// Sends the request to a target that the dispatcher has chosen.
  void dispatchTo(const gateway::KnownTarget &target);
  /// Rejects a queued request with a Retry-After header; a response that has
  /// already started is aborted. If the target of an earlier attempt is only
  /// silent, that attempt goes on instead.
  void rejectQueued(const char *reason);

  std::uint64_t exchangeId() const { return ExchangeId; }
  const std::string &service() const { return Service; }
  const gateway::Route &route() const { return *Route; }
  base::TimePoint arrivedAt() const { return ArrivedAt; }
  base::TimePoint deadline() const { return Deadline; }
  /// Returns until when the caller may read a response that it is sent now: as
  /// long as it waits, which may be longer than the route's timeout. If it
  /// didn't say for how long, until the deadline, but at least for
  /// adaptertcp::UnansweredTimeout.
  base::TimePoint readDeadline() const;
  gateway::RequestTimes times() const {
    return {ArrivedAt, Deadline, RequestInfo.ContinuesStream};
  }
  bool isFinished() const { return Finished; }
  /// Returns whether the request is queued for a target.
  bool isQueued() const { return Queued && !Finished; }
  /// Returns the targets at which an attempt is in progress.
  std::set<std::string> busyTargets() const;
  bool hasResponseStarted() const { return ResponseStarted; }
  std::uint32_t priority() const { return Priority; }
  /// The name of the client account; empty if the request has none.
  const std::string &account() const;
  const CallerRequest &request() const { return RequestInfo; }
  /// Returns how many more times the request may be dispatched. A dispatch is
  /// an attempt in which the request has been sent to its target: it doesn't
  /// count if the connection couldn't be opened or another instance had the
  /// target's address.
  std::uint32_t dispatchesLeft() const {
    return Route->MaxAttempts - std::min(Dispatches, Route->MaxAttempts);
  }
  /// The parts of the prompt that other requests may share.
  const std::vector<gateway::PromptPart> &promptParts() const {
    return PromptParts;
  }
  /// Whether the request is sent to find out whether its prompt is harmful.
  bool isPromptProbe() const { return PromptProbe; }
  void setPromptProbe() { PromptProbe = true; }
  /// Targets at which an attempt of this request has failed.
  const std::set<std::string> &failedTargets() const { return FailedTargets; }

private:
  void respondWithStatus(int status, const char *reason);
  bool authenticate();
  void startDeadlineTimer();
  void onDeadline();

  /// Returns whether an attempt is still the current one.
  bool isCurrent(std::uint64_t number) const {
    return Current && Current->Number == number;
  }
  void openConnection(const std::string &address);
  void sendRequest();
  void scheduleSilenceCheck(base::TimePoint at);
  void checkSilence();
  void makeStandby();
  void makeCurrent(std::unique_ptr<Attempt> attempt);
  std::unique_ptr<Attempt> takeStandby(std::uint64_t number);
  void resumeStandby();
  void endOtherAttempts();
  void withAttempt(std::uint64_t number, const std::function<void()> &action);
  void onTargetData(std::string_view bytes);
  void onTargetClose(adaptertcp::CloseReason reason);
  bool isUnidentified();
  bool validateHead();
  bool discardResponse();
  void relayBody();
  void relayStream();
  bool dropSecondResponse();
  adaptertcp::TargetHeadSearch
  findTargetHead(std::string_view bytes, adaptertcp::HeadExtent extent) const;
  bool hasSecondResponse() const;
  void relayEvents(const std::string &events);
  void relayNonStreaming();
  bool isUnframedSuccess() const;
  void verifyUnframedResponse();
  void onTargetProbed(adaptertcp::ProbeResult result);
  void relay(std::string_view bytes);
  void sendResponseHead();
  void onResponseComplete();
  void returnToPool();

  void handleAttemptFailure(gateway::AttemptFailure failure,
                            const char *detail);
  gateway::FailedAttempt failedAttempt(gateway::AttemptFailure failure) const;
  bool canAskAnotherTarget();
  void endAttempt();
  void closeAttempt(std::unique_ptr<Attempt> attempt);
  void recordBegun();
  void recordExecution(base::TimePoint begunAt);
  bool mayHaveRun() const;
  void retry(gateway::AttemptFailure failure);
  void relayError();
  void relayCompleteResponse(const char *outcome, int status);
  void abortResponse(const char *reason);
  void finish(const char *outcome, int status);
  void recordSource(std::size_t bodyBytes);
  void log(const char *event, const char *outcome, int status,
           const char *cause = nullptr);
  void addFailureFields(nlohmann::json &fields, const char *cause) const;

  Entry &Owner;
  CallerConnection *Caller;
  adaptertcp::RequestHead Head;
  std::string Body;
  CallerRequest RequestInfo;
  std::shared_ptr<const gateway::RouteTable> Table;
  const gateway::Route *Route = nullptr;
  std::string Service;
  std::uint64_t ExchangeId;
  /// The client account; null if the request needs none.
  const gateway::ClientAccount *Client = nullptr;
  std::uint32_t Priority = 0;
  base::TimePoint ArrivedAt;
  base::TimePoint Deadline;
  /// The end of the time that the caller waits; the deadline is at most that.
  base::TimePoint CallerDeadline;
  boost::asio::steady_timer DeadlineTimer;

  std::vector<gateway::PromptPart> PromptParts;
  bool PromptProbe = false;

  /// The current attempt; unset while the request is queued.
  std::unique_ptr<Attempt> Current;
  /// Earlier attempts whose target became silent in a stream. They stay open
  /// until an attempt sends a further event, which ends all others.
  std::vector<std::unique_ptr<Attempt>> Standbys;
  /// The request is with the entry, which sends it to a target or rejects it.
  bool Queued = false;
  std::uint64_t LastAttemptNumber = 0;
  boost::asio::steady_timer SilenceTimer;
  gateway::EventSplitter Events;
  std::set<std::string> FailedTargets;
  std::uint32_t Dispatches = 0;
  std::uint32_t PossiblyExecutedAttempts = 0;
  base::TimePoint FirstEventAt;
  base::TimePoint LastEventAt;
  base::Duration LongestEventGap{};
  bool ResponseStarted = false;
  /// Bytes of the response's body that the caller has been sent, and the
  /// targets that they came from, in this order.
  std::size_t RelayedBodyBytes = 0;
  std::vector<std::string> SourceTargets;
  bool Finished = false;
};

} // namespace bergamot::entrypath

#endif
