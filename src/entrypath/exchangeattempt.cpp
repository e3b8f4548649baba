// The part of Exchange that communicates with a target: sends the request and
// relays the response.
#include "entrypath/callerconnection.h"
#include "entrypath/entry.h"
#include "entrypath/exchange.h"

namespace bergamot::entrypath {

using adaptertcp::CloseReason;
using adaptertcp::ResponseHead;
using base::TimePoint;
using gateway::AttemptFailure;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Maximum of unsent bytes for a slow caller before reading from the target is
/// paused.
constexpr std::size_t MaxUnsentBytes = 65536;
/// Limit on the bytes of one event or of an error response, since a faulty
/// target may send without end. Events in the deployments have some hundred
/// bytes.
constexpr std::size_t MaxBufferedBytes = 262144;
/// Time-out for opening a connection. The longest one-way delay in the
/// deployments is 12 ms; a lost SYN packet would be retransmitted only after a
/// second.
constexpr milliseconds ConnectTimeout{400};
/// Maximum idle time of a pooled connection that is reused for a non-idempotent
/// request. It is shorter than the shortest idle time-out of a target, so that
/// the target doesn't close the connection while the request is in transit.
constexpr milliseconds MaxIdleNonIdempotent{700};
constexpr milliseconds MaxIdleIdempotent{30000};

/// Returns the cause in logs and metrics of an attempt that failed as its
/// connection ended.
const char *closeCause(CloseReason reason) {
  switch (reason) {
  case CloseReason::EndOfStream:
    return "closed";
  case CloseReason::Reset:
    return "reset";
  case CloseReason::TimedOut:
    return "timed_out";
  }
  return "";
}

} // namespace

void Exchange::dispatchTo(const gateway::KnownTarget &target) {
  Queued = false;
  Current = std::make_unique<Attempt>();
  Current->Number = ++LastAttemptNumber;
  Current->TargetId = target.Record.Id;
  Current->TargetAddress = target.Record.Address;
  Current->TargetStartedAtMs = target.Record.StartedAtMs;
  Current->TargetGroup =
      target.Record.Membership ? target.Record.Membership->Group : "";
  Events.dropPartialEvent();
  Owner.addInFlight(Current->TargetId);
  const auto maxIdle =
      Route->isRetryable() ? MaxIdleIdempotent : MaxIdleNonIdempotent;
  // On a connection on which this request was sent before, a copy of the
  // earlier response couldn't be told from the new one.
  if (!FailedTargets.contains(Current->TargetId))
    Current->Connection =
        Owner.pool().take(Current->TargetId, maxIdle, Owner.now());
  Current->ConnectionReused = Current->Connection != nullptr;
  if (Current->Connection)
    sendRequest();
  else
    openConnection(target.Record.Address);
}

void Exchange::openConnection(const std::string &address) {
  const TimePoint by = std::min(Deadline, Owner.now() + ConnectTimeout);
  Owner.countNewConnection();
  Owner.pool().connect(address, by,
                       [self = shared_from_this(), number = Current->Number](
                           const ConnectionPool::Connection &connection) {
                         if (self->Finished || !self->isCurrent(number)) {
                           if (connection)
                             connection->close();
                           return;
                         }
                         if (!connection) {
                           self->handleAttemptFailure(AttemptFailure::NotSent,
                                                      "connect");
                           return;
                         }
                         self->Current->Connection = connection;
                         connection->start({});
                         self->sendRequest();
                       });
}

void Exchange::sendRequest() {
  const TimePoint now = Owner.now();
  AttemptHeaders fields;
  fields.TargetId = Current->TargetId;
  fields.TimeLeft =
      std::max(milliseconds(1), duration_cast<milliseconds>(Deadline - now));
  if (ResponseStarted)
    fields.ResumeAfter = Events.lastEventId();
  Owner.codec().setAttemptHeaders(Head.Headers, fields);
  Current->Parser.restart(Head.Method == "HEAD");
  Current->Connection->setHandlers(
      {[self = shared_from_this(),
        number = Current->Number](std::string_view bytes) {
         self->withAttempt(number, [&] { self->onTargetData(bytes); });
       },
       [self = shared_from_this(),
        number = Current->Number](CloseReason reason) {
         self->withAttempt(number, [&] { self->onTargetClose(reason); });
       },
       {}});
  Current->Sent = true;
  Current->SentAt = now;
  ++Dispatches;
  Current->LastProgressAt = now;
  log("dispatch", "sent", 0);
  Current->Connection->setReadDeadline(Deadline);
  Current->Connection->send(adaptertcp::requestText(Head, Body));
  if (Route->Streaming && !Current->TargetGroup.empty())
    scheduleSilenceCheck(now + Owner.settings().StreamSilenceTimeout);
}

void Exchange::onTargetData(std::string_view bytes) {
  // A failure ends the attempt and destroys the connection's handlers.
  const auto self = shared_from_this();
  // The next attempt may start within the loop, on a connection to another
  // target.
  const std::uint64_t number = Current->Number;
  while (!bytes.empty() && isCurrent(number)) {
    const std::size_t before = Current->Parser.body().size();
    const std::size_t n = Current->Parser.push(bytes);
    bytes.remove_prefix(n);
    if (!Current->ResponseHeadValidated)
      Current->PrecedingBytes += n;
    Current->ReceivedBodyBytes += Current->Parser.body().size() - before;
    const bool stuck = n == 0 && !Current->Parser.isComplete();
    if (Current->Parser.hasFailed() || stuck) {
      handleAttemptFailure(AttemptFailure::Lost, "malformed");
      return;
    }
    if (!Current->Parser.isHeadComplete())
      return;
    if (!Current->ResponseHeadValidated && isUnidentified()) {
      handleAttemptFailure(AttemptFailure::Lost, "unidentified");
      return;
    }
    if (!Current->ResponseHeadValidated && !validateHead()) {
      if (!discardResponse())
        return;
      continue;
    }
    relayBody();
    if (Finished || !isCurrent(number))
      return;
    if (Current->Parser.isComplete()) {
      Current->ExcessBytes = bytes;
      onResponseComplete();
      return;
    }
  }
}

/// Returns whether a response without a request id came on a connection that
/// has carried other requests: it may be a copy of the response to one of them.
bool Exchange::isUnidentified() {
  const ResponseHead &head = Current->Parser.responseHead();
  return Current->ConnectionReused && head.Status >= 200 &&
         !RequestInfo.Id.empty() &&
         !Owner.codec().decodeResponse(head).RequestId;
}

/// Returns whether the response belongs to this request; a late response to an
/// earlier request on the connection is read and discarded.
bool Exchange::validateHead() {
  const ResponseHead &head = Current->Parser.responseHead();
  if (head.Status >= 100 && head.Status < 200)
    return false;
  Current->ResponseInfo = Owner.codec().decodeResponse(head);
  if (Current->ResponseInfo.RequestId &&
      *Current->ResponseInfo.RequestId != RequestInfo.Id)
    return false;
  Current->ResponseHeadValidated = true;
  Current->LastProgressAt = Owner.now();
  Owner.recordResponse(Current->TargetId, Current->TargetStartedAtMs,
                       Current->SentAt, Current->ResponseInfo);
  Owner.recordUnknownFields(Current->TargetId, head);
  return true;
}

void Exchange::relayBody() {
  const int status = Current->Parser.responseHead().Status;
  if (status < 200 || status > 299) {
    // Errors are handled once the response is complete.
    if (Current->Parser.body().size() > MaxBufferedBytes)
      handleAttemptFailure(AttemptFailure::Lost, "endless_error");
    return;
  }
  if (!Current->ResponseInfo.HasTargetSignature ||
      !Current->ResponseInfo.RequestId) {
    handleAttemptFailure(AttemptFailure::Lost, "unsigned");
    return;
  }
  if (Route->Streaming)
    relayStream();
  else
    relayNonStreaming();
}

void Exchange::relayStream() {
  const bool hasSecondResponse = dropSecondResponse();
  // What an attempt sends first has to follow what earlier ones have sent.
  if (ResponseStarted && !Current->Begun &&
      !Events.mayContinueWith(Current->Parser.body())) {
    handleAttemptFailure(AttemptFailure::Lost, "not_resumed");
    return;
  }
  const std::string events = Events.push(Current->Parser.body());
  Current->Parser.body().clear();
  if (!events.empty())
    relayEvents(events);
  if (hasSecondResponse)
    handleAttemptFailure(AttemptFailure::Lost, "second_response");
  else if (Events.partialEvent().size() > MaxBufferedBytes)
    handleAttemptFailure(AttemptFailure::Lost, "endless_event");
}

void Exchange::relayEvents(const std::string &events) {
  const TimePoint now = Owner.now();
  Current->LastProgressAt = now;
  endOtherAttempts();
  recordBegun();
  recordExecution(now);
  if (ResponseStarted) {
    const base::Duration gap = now - LastEventAt;
    LongestEventGap = std::max(LongestEventGap, gap);
    Owner.recordEventGap(Current->TargetId, gap);
  } else {
    FirstEventAt = now;
  }
  LastEventAt = now;
  Owner.recordProgress(Service, Current->TargetGroup);
  relay(events);
}

/// Relays a part of the body, and pauses reading from the target while the
/// caller reads slowly.
void Exchange::relay(std::string_view bytes) {
  sendResponseHead();
  recordSource(bytes.size());
  Caller->sendBody(bytes);
  if (Caller->unsentBytes() > MaxUnsentBytes)
    Current->Connection->setReading(false);
}

void Exchange::sendResponseHead() {
  if (ResponseStarted)
    return;
  ResponseStarted = true;
  ResponseHead head = Current->Parser.responseHead();
  head.Headers.removeHopByHopFields();
  if (Route->Streaming)
    head.Length.reset();
  Caller->beginResponse(head);
}

void Exchange::onResponseComplete() {
  const ResponseHead &head = Current->Parser.responseHead();
  if (Current->ResponseInfo.Misdirected) {
    returnToPool();
    handleAttemptFailure(AttemptFailure::Misdirected, "other_instance");
    return;
  }
  if (Current->ResponseInfo.NotExecuted) {
    if (!Current->TargetGroup.empty())
      Owner.groups().recordRefusal(Current->TargetGroup, Current->SentAt,
                                   Owner.now());
    returnToPool();
    handleAttemptFailure(AttemptFailure::Refused, "not_executed");
    return;
  }
  if (hasSecondResponse()) {
    handleAttemptFailure(AttemptFailure::Lost, "second_response");
    return;
  }
  if (head.Status >= 500) {
    handleAttemptFailure(AttemptFailure::ErrorResponse, "error_response");
    return;
  }
  if (head.Status < 200 || head.Status > 299) {
    if (!Standbys.empty())
      handleAttemptFailure(AttemptFailure::ErrorResponse, "error_response");
    else
      relayError();
    return;
  }
  if (Route->Streaming && !Events.partialEvent().empty()) {
    // Every event ends with an empty line, so the last one is incomplete.
    handleAttemptFailure(AttemptFailure::Lost, "incomplete_event");
    return;
  }
  if (!Route->Streaming && !isUnframedSuccess())
    Owner.framing(Service).add(true);
  recordBegun();
  Owner.recordSuccess(Current->TargetId);
  if (Route->Streaming)
    sendResponseHead();
  if (!ResponseStarted) {
    relayCompleteResponse("served", 200);
    return;
  }
  const auto self = shared_from_this();
  if (!Current->Parser.body().empty())
    relay(Current->Parser.body());
  returnToPool();
  endAttempt();
  Caller->endResponse();
  finish("served", 200);
}

/// Relays a complete response of which nothing has been sent yet.
void Exchange::relayCompleteResponse(const char *outcome, int status) {
  ResponseHead out = Current->Parser.responseHead();
  out.Headers.removeHopByHopFields();
  const std::string body = std::move(Current->Parser.body());
  recordSource(body.size());
  returnToPool();
  endAttempt();
  const auto self = shared_from_this();
  finish(outcome, status);
  if (Caller)
    Caller->respond(out, body);
}

void Exchange::returnToPool() {
  if (!Current->Connection)
    return;
  const TimePoint now = Owner.now();
  // The rest of what follows the response may still be in transit, and would
  // come before the response to the next request.
  const bool reusable = Current->Parser.isComplete() &&
                        Current->ExcessBytes.empty() &&
                        Current->Parser.responseHead().KeepAlive &&
                        Current->Connection->unsentBytes() == 0;
  if (!reusable) {
    Current->Connection->close();
    Current->Connection.reset();
    return;
  }
  Current->Connection->setReading(true);
  Owner.returnToPool(Current->TargetId, std::move(Current->Connection),
                     Current->ResponseInfo, now);
  Current->Connection.reset();
}

void Exchange::onTargetClose(CloseReason reason) {
  const auto self = shared_from_this();
  if (reason == CloseReason::EndOfStream)
    Current->Parser.finish();
  if (Current->ResponseHeadValidated && Current->Parser.isComplete()) {
    const std::uint64_t number = Current->Number;
    relayBody();
    if (Finished || !isCurrent(number))
      return;
    if (isUnframedSuccess())
      verifyUnframedResponse();
    else
      onResponseComplete();
    return;
  }
  if (Current->Sent && !Current->Begun)
    Owner.checkForCrash(Current->TargetId, Current->TargetStartedAtMs,
                        Current->TargetAddress, PromptParts);
  handleAttemptFailure(AttemptFailure::Lost, closeCause(reason));
}

void Exchange::endAttempt() {
  if (!Current)
    return;
  if (mayHaveRun())
    recordExecution(Current->SentAt);
  SilenceTimer.cancel();
  PromptProbe = false;
  closeAttempt(std::move(Current));
}

void Exchange::closeAttempt(std::unique_ptr<Attempt> attempt) {
  // Closing the connection makes the target cancel the request.
  if (attempt->Connection)
    attempt->Connection->abort();
  Owner.removeInFlight(*this, attempt->TargetId);
}

} // namespace bergamot::entrypath
