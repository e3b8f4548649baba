#include "entrypath/exchange.h"

#include "entrypath/callerconnection.h"
#include "entrypath/entry.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bergamot::entrypath {

using adaptertcp::ResponseHead;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

/// Upper limit for the time until a request's deadline.
constexpr std::chrono::hours MaxRequestTime{1};

} // namespace

Exchange::Exchange(Entry &entry, CallerConnection &caller,
                   adaptertcp::RequestHead head, std::string body,
                   TimePoint arrivedAt)
    : Owner(entry), Caller(&caller), Head(std::move(head)),
      Body(std::move(body)), ExchangeId(entry.nextExchangeId()),
      ArrivedAt(arrivedAt), DeadlineTimer(entry.loop()),
      SilenceTimer(entry.loop()) {}

Exchange::~Exchange() = default;

void Exchange::start() {
  RequestInfo = Owner.codec().decodeRequest(Head);
  CallerDeadline =
      ArrivedAt +
      std::min<milliseconds>(RequestInfo.TimeLeft.value_or(MaxRequestTime),
                             MaxRequestTime);
  Table = Owner.routeTable();
  if (!Table) {
    Deadline = ArrivedAt + RequestInfo.TimeLeft.value_or(milliseconds(0));
    if (!Owner.canComplete(*this) ||
        !Owner.holdForConfiguration(shared_from_this()))
      respondWithStatus(503, "no_configuration");
    return;
  }
  Route = Table->route(RequestInfo.Host, Head.Target);
  if (!Route) {
    respondWithStatus(404, "no_route");
    return;
  }
  if (!authenticate()) {
    respondWithStatus(401, "unknown_key");
    return;
  }
  const milliseconds limit =
      Route->Timeout.count() > 0 ? Route->Timeout : milliseconds::max() / 2;
  Deadline =
      std::min(CallerDeadline,
               ArrivedAt + std::min<milliseconds>(limit, MaxRequestTime));
  Service = gateway::chooseService(*Route, Owner.drawUniform());
  Priority = Owner.requestPriority(Service, *Route, Client);
  if (!Owner.canComplete(*this)) {
    // Another entry can serve the request at once.
    respondWithStatus(503, "shutting_down");
    return;
  }
  PromptParts = gateway::promptParts(Service, RequestInfo.SharedPromptParts);
  Owner.codec().prepareForwarding(Head.Headers, account());
  startDeadlineTimer();
  Queued = true;
  Owner.enqueue(shared_from_this());
}

TimePoint Exchange::readDeadline() const {
  if (RequestInfo.TimeLeft)
    return CallerDeadline;
  return std::max(Deadline, Owner.now() + adaptertcp::UnansweredTimeout);
}

bool Exchange::authenticate() {
  Client = RequestInfo.ApiKey ? Table->account(*RequestInfo.ApiKey) : nullptr;
  return Client || Route->Public || !Table->hasAccounts();
}

const std::string &Exchange::account() const {
  static const std::string none;
  return Client ? Client->Name : none;
}

void Exchange::startDeadlineTimer() {
  DeadlineTimer.expires_at(Deadline);
  DeadlineTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && !self->Finished)
          self->onDeadline();
      });
}

void Exchange::onDeadline() {
  endUnserved(ResponseStarted ? "deadline_in_stream" : "deadline");
}

void Exchange::endUnserved(const char *reason) {
  if (Finished)
    return;
  if (ResponseStarted) {
    abortResponse(reason);
    return;
  }
  const bool mayHaveExecuted =
      (Current && Current->Sent) || PossiblyExecutedAttempts > 0;
  respondWithStatus(mayHaveExecuted ? 504 : 503, reason);
}

void Exchange::respondWithStatus(int status, const char *reason) {
  if (Finished)
    return;
  endAttempt();
  ResponseHead head;
  head.Status = status;
  head.Length = 0;
  if (!RequestInfo.Id.empty())
    Owner.codec().setRequestId(head.Headers, RequestInfo.Id);
  if (status == 503 || status == 429)
    Owner.setRetryAfter(head.Headers, *this);
  const auto self = shared_from_this();
  finish(reason, status);
  if (Caller)
    Caller->respond(head, "");
}

void Exchange::rejectUnconfigured() {
  respondWithStatus(503, "no_configuration");
}

void Exchange::rejectQueued(const char *reason) {
  Queued = false;
  if (!Standbys.empty()) {
    Owner.withdraw(*this);
    resumeStandby();
    return;
  }
  if (ResponseStarted) {
    abortResponse(reason);
    return;
  }
  respondWithStatus(PossiblyExecutedAttempts > 0 ? 502 : 503, reason);
}

/// Aborts a response that has started, so that the caller can tell that it is
/// truncated.
void Exchange::abortResponse(const char *reason) {
  const auto self = shared_from_this();
  endAttempt();
  if (Caller)
    Caller->abortResponse();
  finish(reason, 0);
}

void Exchange::onCallerDisconnected() {
  Caller = nullptr;
  if (Finished)
    return;
  endAttempt();
  finish("caller_left", 0);
}

void Exchange::handleSuspension(base::Duration missedTime) {
  if (Finished || !Route)
    return;
  // The caller has waited for a long time and may have disconnected.
  if (!Current)
    rejectQueued("paused");
  if (Finished || missedTime == base::Duration::zero())
    return;
  Deadline -= missedTime;
  CallerDeadline -= missedTime;
  startDeadlineTimer();
}

void Exchange::abortIfBlocked() {
  if (Finished || !Current || Current->Begun || PromptProbe ||
      Owner.promptSuspects().verdict(PromptParts, Owner.now()) !=
          gateway::PromptVerdict::Blocked)
    return;
  handleAttemptFailure(Current->Sent ? gateway::AttemptFailure::Lost
                                     : gateway::AttemptFailure::NotSent,
                       "harmful_prompt");
}

void Exchange::onSendBufferEmpty() {
  if (Current && Current->Connection)
    Current->Connection->setReading(true);
}

/// Records that the target has begun to respond in this attempt.
void Exchange::recordBegun() {
  if (!std::exchange(Current->Begun, true))
    Owner.recordPromptBegun(PromptParts);
}

/// Records that the target has begun to run the request in this attempt.
void Exchange::recordExecution(TimePoint begunAt) {
  if (std::exchange(Current->ExecutionRecorded, true) || account().empty())
    return;
  Owner.recordExecution(account(), begunAt);
}

/// Returns whether the target may have run the request in this attempt, as far
/// as its response or its silence tells. A stream has begun to run only with
/// its first event.
bool Exchange::mayHaveRun() const {
  const bool refused =
      Current->ResponseHeadValidated &&
      (Current->ResponseInfo.NotExecuted || Current->ResponseInfo.Misdirected);
  return Current->Sent && !refused && !Route->Streaming;
}

void Exchange::finish(const char *outcome, int status) {
  if (Finished)
    return;
  Finished = true;
  DeadlineTimer.cancel();
  SilenceTimer.cancel();
  for (auto &it : std::exchange(Standbys, {}))
    closeAttempt(std::move(it));
  log("request.end", outcome, status);
  Owner.removeExchange(*this, outcome, status);
}

/// Records that the caller is sent this much of the current response's body.
void Exchange::recordSource(std::size_t bodyBytes) {
  RelayedBodyBytes += bodyBytes;
  if (SourceTargets.empty() || SourceTargets.back() != Current->TargetId)
    SourceTargets.push_back(Current->TargetId);
}

/// Adds what tells the causes of failed attempts apart.
void Exchange::addFailureFields(nlohmann::json &fields,
                                const char *cause) const {
  const auto &parser = Current->Parser;
  fields["cause"] = cause;
  fields["begun"] = Current->Begun;
  fields["reused"] = Current->ConnectionReused;
  fields["received"] = Current->ReceivedBodyBytes;
  fields["relayed"] = RelayedBodyBytes;
  if (parser.isHeadComplete())
    fields["framing"] = parser.contentLength()        ? "length"
                        : parser.endsWithConnection() ? "connection"
                                                      : "chunked";
  if (!RequestInfo.SharedPromptParts.empty())
    fields["prompt"] = RequestInfo.SharedPromptParts;
}

/// Writes a log line; `cause` is set if an attempt has failed.
void Exchange::log(const char *event, const char *outcome, int status,
                   const char *cause) {
  const TimePoint now = Owner.now();
  if (!Owner.eventLog().admit(event, now))
    return;
  nlohmann::json fields = {
      {"request", RequestInfo.Id},
      {"outcome", outcome},
      {"age_ms", base::wholeMilliseconds(now - ArrivedAt)}};
  if (status != 0)
    fields["status"] = status;
  if (Route) {
    fields["route"] = Route->Name;
    fields["config"] = Table->version();
  }
  if (!Service.empty())
    fields["service"] = Service;
  if (Current)
    fields["target"] = Current->TargetId;
  if (!Service.empty() && Dispatches == 0) {
    fields["waiting"] = Owner.queuedCount(Service);
    fields["entries"] = Owner.entryCount();
    fields["priority"] = Priority;
    if (!account().empty())
      fields["account"] = account();
  }
  if (cause)
    addFailureFields(fields, cause);
  if (Finished && !SourceTargets.empty()) {
    fields["sources"] = SourceTargets;
    fields["relayed"] = RelayedBodyBytes;
  }
  if (Dispatches > 0)
    fields["dispatches"] = Dispatches;
  if (Events.eventCount() > 0) {
    fields["events"] = Events.eventCount();
    fields["first_ms"] = base::wholeMilliseconds(FirstEventAt - ArrivedAt);
    fields["gap_ms"] = base::wholeMilliseconds(LongestEventGap);
  }
  Owner.writeLog(event, fields);
}

} // namespace bergamot::entrypath
