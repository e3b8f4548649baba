// The part of Exchange that deals with a target: sending the request, passing
// the response on, and what follows a failed attempt.
#include "entrypath/callerconnection.h"
#include "entrypath/entry.h"
#include "entrypath/exchange.h"

namespace bergamot::entrypath {

using adaptertcp::CloseReason;
using adaptertcp::ResponseHead;
using base::Duration;
using base::TimePoint;
using gateway::AttemptFailure;
using gateway::AttemptVerdict;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Bytes that a slow caller may leave unread before the target is held back.
constexpr std::size_t MaxUnsentBytes = 65536;
/// Plain responses up to this size are passed on only when complete, so that
/// a damaged one can still be replaced.
constexpr std::size_t MaxHeldResponseBytes = 65536;
/// A target in trouble may send bytes without end. More than this of one event,
/// of an error, or of responses to other requests isn't taken; an event of the
/// deployments has some hundred bytes.
constexpr std::size_t MaxUnusedBytes = 262144;
/// Time for a new connection. The longest one-way delay of the deployments is
/// 12 ms; a lost opening packet is repeated only after a second.
constexpr milliseconds ConnectTimeout{400};
/// How long kept connections may be idle for requests that can't be repeated:
/// shorter than the shortest idle time-out of a target, so that the target's
/// close can't cross the request.
constexpr milliseconds MaxIdleNonIdempotent{700};
constexpr milliseconds MaxIdleIdempotent{30000};

} // namespace

void Exchange::dispatchTo(const gateway::KnownTarget &target) {
  TargetId = target.Record.Id;
  TargetStartedAtMs = target.Record.StartedAtMs;
  TargetGroup = target.Record.Membership ? target.Record.Membership->Group : "";
  ++AttemptNumber;
  Sent = false;
  HeadAccepted = false;
  DroppedBytes = 0;
  Events.dropRest();
  Owner.addInFlight(TargetId);
  const Duration maxIdle =
      Route->mayRepeat() ? MaxIdleIdempotent : MaxIdleNonIdempotent;
  Connection = Owner.pool().take(TargetId, maxIdle, Owner.now());
  if (Connection)
    sendRequest();
  else
    openConnection(target.Record.Address);
}

void Exchange::openConnection(const std::string &address) {
  const TimePoint by = std::min(Deadline, Owner.now() + ConnectTimeout);
  Owner.countNewConnection();
  Owner.pool().connect(address, by,
                       [self = shared_from_this(), attempt = AttemptNumber](
                           const TargetPool::Connection &connection) {
                         if (self->Finished || attempt != self->AttemptNumber ||
                             self->TargetId.empty()) {
                           if (connection)
                             connection->close();
                           return;
                         }
                         if (!connection) {
                           self->attemptFailed(AttemptFailure::NotSent,
                                               "connect");
                           return;
                         }
                         self->Connection = connection;
                         connection->start({});
                         self->sendRequest();
                       });
}

void Exchange::sendRequest() {
  const TimePoint now = Owner.now();
  AttemptFields fields;
  fields.TargetId = TargetId;
  fields.TimeLeft =
      std::max(milliseconds(1), duration_cast<milliseconds>(Deadline - now));
  if (ResponseStarted)
    fields.ResumeAfter = Events.lastEventId();
  Owner.dialect().setAttemptFields(Head.Headers, fields);
  Parser.restart(Head.Method == "HEAD");
  Connection->setHandlers({[self = shared_from_this()](std::string_view it) {
                             self->onTargetData(it);
                           },
                           [self = shared_from_this()](CloseReason reason) {
                             self->onTargetClose(reason);
                           },
                           {}});
  Sent = true;
  SentAt = now;
  ++Dispatches;
  HeardAt = now;
  log("dispatch", "sent", 0);
  Connection->send(adaptertcp::requestText(Head, Body));
  if (Route->Streams && !TargetGroup.empty())
    watchSilence(now + Owner.settings().SilentAfter);
}

void Exchange::onTargetData(std::string_view bytes) {
  // An error ends the attempt and releases the connection's handlers.
  const auto self = shared_from_this();
  // The next attempt may start at once, on a connection of another target.
  const std::uint64_t attempt = AttemptNumber;
  while (!bytes.empty() && attempt == AttemptNumber) {
    const std::size_t n = Parser.push(bytes);
    bytes.remove_prefix(n);
    const bool stuck = n == 0 && !Parser.isComplete();
    if (Parser.hasFailed() || stuck) {
      attemptFailed(AttemptFailure::Lost, "malformed");
      return;
    }
    if (!Parser.isHeadComplete())
      return;
    if (!HeadAccepted && !acceptHead()) {
      DroppedBytes += Parser.body().size();
      Parser.body().clear();
      if (DroppedBytes > MaxUnusedBytes) {
        attemptFailed(AttemptFailure::Lost, "endless_other");
        return;
      }
      if (!Parser.isComplete())
        return;
      Parser.restart(Head.Method == "HEAD");
      continue;
    }
    relayBody();
    if (Finished || attempt != AttemptNumber)
      return;
    if (Parser.isComplete()) {
      completeResponse();
      return;
    }
  }
}

/// Returns whether the response belongs to this request; a late response to an
/// earlier request on the connection is read and dropped.
bool Exchange::acceptHead() {
  const ResponseHead &head = Parser.responseHead();
  if (head.Status >= 100 && head.Status < 200)
    return false;
  ResponseFacts = Owner.dialect().decodeResponse(head);
  if (ResponseFacts.RequestId && *ResponseFacts.RequestId != Facts.Id)
    return false;
  HeadAccepted = true;
  HeardAt = Owner.now();
  Owner.noteResponse(TargetId, TargetStartedAtMs, ResponseFacts);
  return true;
}

void Exchange::relayBody() {
  const int status = Parser.responseHead().Status;
  if (status < 200 || status > 299) {
    // Decided when the whole response is there.
    if (Parser.body().size() > MaxUnusedBytes)
      attemptFailed(AttemptFailure::Lost, "endless_error");
    return;
  }
  if (!ResponseFacts.IsSigned || !ResponseFacts.RequestId) {
    attemptFailed(AttemptFailure::Lost, "unsigned");
    return;
  }
  if (Route->Streams)
    relayStream();
  else
    relayPlain();
}

void Exchange::relayStream() {
  std::string events = Events.push(Parser.body());
  Parser.body().clear();
  if (Events.rest().size() > MaxUnusedBytes) {
    attemptFailed(AttemptFailure::Lost, "endless_event");
    return;
  }
  if (events.empty())
    return;
  const TimePoint now = Owner.now();
  HeardAt = now;
  if (ResponseStarted)
    LongestGap = std::max(LongestGap, now - LastEventAt);
  else
    FirstEventAt = now;
  LastEventAt = now;
  Owner.noteProgress(Service, TargetGroup);
  relay(events);
}

void Exchange::relayPlain() {
  if (!ResponseStarted && Parser.body().size() <= MaxHeldResponseBytes)
    return;
  relay(Parser.body());
  Parser.body().clear();
}

/// Passes a part of the body on, and holds the target back while the caller
/// reads slowly.
void Exchange::relay(std::string_view bytes) {
  commitHead();
  Caller->sendBody(bytes);
  if (Caller->unsentBytes() > MaxUnsentBytes)
    Connection->setReading(false);
}

void Exchange::commitHead() {
  if (ResponseStarted)
    return;
  ResponseStarted = true;
  ResponseHead head = Parser.responseHead();
  head.Headers.removeConnectionFields();
  if (Route->Streams)
    head.Length.reset();
  Caller->beginResponse(head);
}

void Exchange::completeResponse() {
  const ResponseHead &head = Parser.responseHead();
  if (ResponseFacts.Misdirected) {
    keepConnection();
    attemptFailed(AttemptFailure::Misdirected, "other_instance");
    return;
  }
  if (ResponseFacts.NotExecuted) {
    if (!TargetGroup.empty())
      Owner.groups().noteRefusal(TargetGroup, SentAt, Owner.now());
    keepConnection();
    attemptFailed(AttemptFailure::Refused, "not_executed");
    return;
  }
  if (head.Status >= 500) {
    attemptFailed(AttemptFailure::ErrorResponse, "error_response");
    return;
  }
  if (head.Status < 200 || head.Status > 299) {
    relayError();
    return;
  }
  if (Route->Streams && !Events.rest().empty()) {
    // Every event ends with an empty line; the last one is incomplete.
    attemptFailed(AttemptFailure::Lost, "incomplete_event");
    return;
  }
  Owner.noteSuccess(TargetId);
  if (Route->Streams)
    commitHead();
  if (!ResponseStarted) {
    respondWhole("served", 200);
    return;
  }
  const auto self = shared_from_this();
  keepConnection();
  endAttempt();
  Caller->endResponse();
  finish("served", 200);
}

void Exchange::relayError() {
  const int status = Parser.responseHead().Status;
  if (gateway::promisesNotExecuted(status)) {
    // Without the target's own statement, this status would promise too much.
    answer(502, "unproven_refusal");
    return;
  }
  respondWhole("relayed_error", status);
}

/// Passes a complete response on of which nothing was sent yet.
void Exchange::respondWhole(const char *outcome, int status) {
  ResponseHead out = Parser.responseHead();
  out.Headers.removeConnectionFields();
  const std::string body = std::move(Parser.body());
  keepConnection();
  endAttempt();
  const auto self = shared_from_this();
  finish(outcome, status);
  if (Caller)
    Caller->respond(out, body);
}

void Exchange::keepConnection() {
  if (!Connection)
    return;
  const TimePoint now = Owner.now();
  const bool reusable = Parser.isComplete() &&
                        Parser.responseHead().KeepAlive &&
                        Connection->unsentBytes() == 0;
  if (!reusable) {
    Connection->close();
    Connection.reset();
    return;
  }
  Connection->setReading(true);
  Owner.keepConnection(TargetId, std::move(Connection), ResponseFacts, now);
  Connection.reset();
}

void Exchange::onTargetClose(CloseReason reason) {
  const auto self = shared_from_this();
  if (reason == CloseReason::EndOfStream)
    Parser.finish();
  if (HeadAccepted && Parser.isComplete()) {
    const std::uint64_t attempt = AttemptNumber;
    relayBody();
    if (!Finished && attempt == AttemptNumber)
      completeResponse();
    return;
  }
  attemptFailed(AttemptFailure::Lost,
                reason == CloseReason::Reset ? "reset" : "closed");
}

void Exchange::endAttempt() {
  if (TargetId.empty())
    return;
  if (Connection) {
    // Closing tells the target to stop; it drops work whose caller is gone.
    Connection->abort();
    Connection.reset();
  }
  SilenceTimer.cancel();
  const std::string target = std::move(TargetId);
  TargetId.clear();
  ++AttemptNumber;
  Owner.removeInFlight(*this, target);
}

void Exchange::attemptFailed(AttemptFailure failure, const char *detail) {
  const auto self = shared_from_this();
  const bool mayBeExecuted = failure == AttemptFailure::Lost ||
                             failure == AttemptFailure::ErrorResponse;
  if (mayBeExecuted)
    ++ExecutedAttempts;
  if (failure == AttemptFailure::Misdirected)
    --Dispatches;
  Tried.insert(TargetId);
  Owner.noteFailure(TargetId, failure);
  log("attempt.failed", gateway::failureName(failure),
      Parser.responseHead().Status);
  const AttemptVerdict verdict = gateway::verdictFor(
      {failure, Route->Rule, Route->Resumable, ResponseStarted,
       ExecutedAttempts, Dispatches, Route->MaxAttempts});
  switch (verdict) {
  case AttemptVerdict::TryAgain:
    tryAgain(failure);
    return;
  case AttemptVerdict::Reject:
    answer(503, detail);
    return;
  case AttemptVerdict::RelayError:
    relayError();
    return;
  case AttemptVerdict::AnswerUnknown:
    answer(502, detail);
    return;
  case AttemptVerdict::CutResponse:
    cutResponse(detail);
    return;
  }
}

void Exchange::tryAgain(AttemptFailure failure) {
  const bool draws = failure != AttemptFailure::NotSent;
  if (draws && !Owner.takeRepeat(Service)) {
    if (failure == AttemptFailure::ErrorResponse && !ResponseStarted)
      relayError();
    else
      rejectWaiting("retry_budget");
    return;
  }
  endAttempt();
  Owner.enqueue(shared_from_this());
}

} // namespace bergamot::entrypath
