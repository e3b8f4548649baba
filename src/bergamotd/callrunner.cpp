#include "bergamotd/callrunner.h"

#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bergamot::bergamotd {

namespace fb = wire::fb;
using base::Step;
using routing::Refusal;
using routing::RetryVerdict;
using std::chrono::steady_clock;

namespace {

/// How often a waiting call checks that its caller is still there, and asks
/// again for window that memory did not allow.
constexpr std::chrono::milliseconds CheckInterval{250};

constexpr std::chrono::milliseconds DefaultRetryAfter{1000};

/// How long a further attempt waits for any target to be reachable again.
constexpr std::chrono::milliseconds ReconnectTime{5000};

std::uint32_t millisecondsUntil(base::TimePoint deadline) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - steady_clock::now());
  return static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count()));
}

} // namespace

CallRunner::CallRunner(CallContext context, const CallerRequest &call,
                       adapterhttp::HttpResponder &responder,
                       DispatchGate *gate)
    : Context(context), Call(call), Responder(responder), Gate(gate),
      Stream(std::make_shared<AnswerStream>(context.Memory, call.Request,
                                            isResumable())) {}

CallResult CallRunner::run() {
  Context.Retries.addRequest(Call.Account, Call.Service);
  for (;;) {
    startAttempt();
    const Next next = followAttempt();
    endAttempt();
    if (next == Next::Done)
      break;
  }
  Result.Attempts = Attempt;
  Result.Target = Choice.Target;
  Result.Bytes = Stream->deliveredTo();
  return std::move(Result);
}

void CallRunner::chooseTarget() {
  const auto waitUntil = steady_clock::now() + ReconnectTime;
  if (Attempt == 1 && Context.Room.hasWaiters(Call.Service))
    Context.Room.waitForTurn(Call);
  for (;;) {
    routing::SelectionRequest request;
    request.Units = Call.Units;
    request.Tried = Tried;
    request.PrefixHashes = Call.PromptBlocks;
    Choice = Context.Targets.choose(Call.Service, request);
    if (Choice.Session) {
      Context.Room.setCapacityFree(Call.Service);
      return;
    }
    // A first attempt without any target is refused at once. A later one
    // waits a while: lost connections are replaced within the backoff.
    const bool canWait = Choice.Selection.Reason == Refusal::NoSlots ||
                         (Attempt > 1 && steady_clock::now() < waitUntil);
    if (!canWait) {
      RetryAfter = std::chrono::ceil<std::chrono::milliseconds>(
          Choice.Selection.RetryAfter);
      giveUp(503, Step::Route,
             "no target of service '" + Call.Service.Value + "' is available");
    }
    // A target that refused or failed before may have room by the next turn.
    Tried.clear();
    Context.Room.waitForTurn(Call);
  }
}

void CallRunner::startAttempt() {
  ++Attempt;
  chooseTarget();
  if (Gate != nullptr && !Gate->takeDispatchPermit())
    giveUp(503, Step::Claim, "the claim on the idempotency key has expired");
  const std::uint64_t offset = Stream->startAttempt();
  if (offset == 0 && !Responder.isStarted())
    Head.reset();
  DispatchedAt = steady_clock::now();
  Context.Requests.add(Call.Request, {Attempt}, Choice.Session, Stream);
  logChoice(offset);
  sendDispatch(offset);
}

void CallRunner::logChoice(std::uint64_t offset) const {
  const auto &selection = Choice.Selection;
  base::logDecision(
      "route.choose",
      {{"request", Call.Request.Value},
       {"caller_request", Call.CallerRequestId},
       {"attempt", Attempt},
       {"account", Call.Account.Value},
       {"service", Call.Service.Value},
       {"target", Choice.Target.Value},
       {"grant", selection.UsedGrant ? selection.UsedGrant->Value : 0},
       {"score", selection.Score},
       {"prefix_match", selection.MatchFraction},
       {"units", Call.Units},
       {"idempotent", Call.IsIdempotent},
       {"offset", offset}});
}

wire::Envelope CallRunner::addressed(wire::Envelope message) const {
  message.request = Call.Request.Value;
  message.attempt = Attempt;
  return message;
}

void CallRunner::sendDispatch(std::uint64_t offset) {
  fb::DispatchT dispatch;
  dispatch.service = Call.Service.Value;
  dispatch.account = Call.Account.Value;
  dispatch.method = Call.Method;
  dispatch.path = Call.Path;
  for (const auto &it : Call.Headers) {
    auto header = std::make_unique<fb::HeaderT>();
    header->name = it.Name;
    header->value = it.Value;
    dispatch.headers.push_back(std::move(header));
  }
  dispatch.body.assign(Call.Body.begin(), Call.Body.end());
  dispatch.reserved_units = Call.Units;
  if (Choice.Selection.UsedGrant)
    dispatch.grant = Choice.Selection.UsedGrant->Value;
  dispatch.deadline_ms = millisecondsUntil(Call.Deadline);
  dispatch.priority = static_cast<std::uint8_t>(Call.Priority);
  dispatch.idempotent = Call.IsIdempotent;
  dispatch.resumable = isResumable();
  dispatch.streaming = Call.IsStreaming;
  dispatch.resume_offset = offset;
  dispatch.resume_hash = Stream->deliveredHash();
  dispatch.window = Stream->takeWindow().value_or(offset);
  if (!Choice.Session->send(addressed(wire::makeEnvelope(std::move(dispatch)))))
    Stream->addFailure({Executed::No, "connect", "the session is closed"});
}

CallRunner::Next CallRunner::followAttempt() {
  for (;;) {
    const Next next = takeEvent(nextEvent());
    if (next != Next::Continue)
      return next;
  }
}

AnswerEvent CallRunner::nextEvent() {
  // A body that isn't streamed is sent in one piece if it fits a window, so
  // that a failure in its middle can still be repeated or reported.
  const bool whole = !Call.IsStreaming && !Responder.isStarted();
  for (;;) {
    const auto now = steady_clock::now();
    if (auto event = Stream->nextEvent(
            whole, std::min(Call.Deadline, now + CheckInterval)))
      return std::move(*event);
    if (now >= Call.Deadline)
      return AttemptFailed{Executed::Unknown, "answer",
                           "no answer before the deadline"};
    // A caller that left doesn't need the answer; work that must not be
    // repeated still runs to its end so that its outcome is recorded.
    if (Call.IsIdempotent && Responder.isClientGone()) {
      Result.IsClientGone = true;
      return AttemptFailed{Executed::Unknown, "answer", "the caller left"};
    }
    sendWindow();
  }
}

CallRunner::Next CallRunner::takeEvent(const AnswerEvent &event) {
  if (const auto *head = std::get_if<AnswerHead>(&event))
    return takeHead(*head);
  if (const auto *bytes = std::get_if<AnswerBytes>(&event))
    return takeBytes(bytes->Bytes);
  if (const auto *refused = std::get_if<AttemptRefused>(&event))
    return takeRefused(*refused);
  if (const auto *failed = std::get_if<AttemptFailed>(&event))
    return takeFailed(*failed);
  if (std::holds_alternative<AnswerParked>(event)) {
    Context.Metrics.addCount("bergamot_entry_parked_total", "");
    cancelAttempt();
    return Next::Retry;
  }
  return takeEnd();
}

CallRunner::Next CallRunner::takeHead(const AnswerHead &head) {
  Result.ExecutedState = Executed::Yes;
  Result.Status = head.Status;
  // The head of a resumed answer was delivered by an earlier attempt.
  if (!Head)
    Head = head;
  else if (Responder.isStarted() && head.Status != Head->Status)
    return takeFailed(
        {Executed::Yes, "answer", "the engine refused to resume the stream"});
  return Next::Continue;
}

CallRunner::Next CallRunner::takeBytes(const std::string &bytes) {
  if (!Responder.isStarted()) {
    const auto *length =
        adapterhttp::findHeader(Head->Headers, "Content-Length");
    startResponse(length != nullptr ? std::optional<std::size_t>(std::strtoull(
                                          length->c_str(), nullptr, 10))
                                    : std::nullopt);
  }
  if (!Responder.write(bytes, Call.Deadline))
    return leaveCaller();
  sendWindow();
  return Next::Continue;
}

CallRunner::Next CallRunner::leaveCaller() {
  cancelAttempt();
  Result.IsClientGone = true;
  return Next::Done;
}

void CallRunner::startResponse(std::optional<std::size_t> length) {
  std::vector<adapterhttp::HttpHeader> headers = {
      {"X-Request-Id", Call.CallerRequestId}};
  const auto *type = adapterhttp::findHeader(Head->Headers, "Content-Type");
  Result.ContentType = type != nullptr ? *type : "";
  if (type != nullptr)
    headers.push_back({"Content-Type", *type});
  Responder.start(Head->Status, headers, length, Call.Deadline);
}

CallRunner::Next CallRunner::takeEnd() {
  Context.Targets.addResult(Choice.Target, Head->Status >= 500);
  Context.Room.addServiceTime(Call.Service, steady_clock::now() - DispatchedAt);
  Result.IsComplete = true;
  // Without finish() the caller sees a cut response instead of a whole one.
  if (!Responder.isStarted()) {
    Result.Body = Stream->takeRest();
    startResponse(Result.Body.size());
    Responder.write(Result.Body, Call.Deadline);
  }
  Responder.finish();
  return Next::Done;
}

CallRunner::Next CallRunner::takeRefused(const AttemptRefused &refused) {
  RetryAfter = RetryAfter ? std::min(*RetryAfter, refused.RetryAfter)
                          : refused.RetryAfter;
  Context.Targets.setRefused(Choice.Target,
                             steady_clock::now() + refused.RetryAfter);
  Context.Metrics.addCount("bergamot_entry_refused_attempts_total", "");
  const Next next = retryOrGiveUp(Executed::No, false, refused.Detail);
  ++RefusedAttempts;
  return next;
}

CallRunner::Next CallRunner::takeFailed(const AttemptFailed &failed) {
  if (Result.IsClientGone)
    return leaveCaller();
  if (failed.ExecutedState != Executed::No)
    Result.ExecutedState = failed.ExecutedState;
  Context.Targets.addResult(Choice.Target, true);
  const Next next =
      retryOrGiveUp(failed.ExecutedState, failed.ExecutedState != Executed::No,
                    failed.Detail);
  if (failed.ExecutedState == Executed::No)
    ++RefusedAttempts;
  return next;
}

CallRunner::Next CallRunner::retryOrGiveUp(Executed outcome, bool bytesSent,
                                           const std::string &detail) {
  const auto now = steady_clock::now();
  Tried.push_back(Choice.Target);
  if (Gate != nullptr && outcome == Executed::No)
    Gate->setRefused();
  routing::RetryCandidate failed;
  failed.Account = Call.Account;
  failed.Service = Call.Service;
  failed.Rule = Call.IsIdempotent ? routing::RequestIdempotency::Idempotent
                                  : routing::RequestIdempotency::NonIdempotent;
  failed.Attempt = {Attempt};
  failed.PriorRefusals = RefusedAttempts;
  failed.Outcome = outcome;
  failed.MayHaveSentBytes = bytesSent;
  failed.ResumesResponse = Responder.isStarted();
  failed.Deadline = Call.Deadline;
  const auto verdict = Context.Retries.decide(failed, now);
  const bool isLost = Responder.isStarted() && !isResumable();
  const bool mayRepeat =
      verdict.Next != RetryVerdict::Action::GiveUp && !isLost;
  base::logDecision("route.failed", {{"request", Call.Request.Value},
                                     {"attempt", Attempt},
                                     {"target", Choice.Target.Value},
                                     {"detail", detail},
                                     {"executed", executedName(outcome)},
                                     {"repeat", mayRepeat}});
  if (mayRepeat)
    return Next::Retry;
  cancelAttempt();
  if (now >= Call.Deadline)
    giveUp(504, Step::Answer, detail);
  giveUp(outcome == Executed::No ? 503 : 502, Step::Answer, detail);
}

bool CallRunner::isResumable() const {
  return Call.Kind == config::ServiceKind::Model && Call.IsIdempotent;
}

void CallRunner::sendWindow() {
  const auto window = Stream->takeWindow();
  if (!window)
    return;
  fb::WindowT message;
  message.received_up_to = *window;
  Choice.Session->send(addressed(wire::makeEnvelope(message)));
}

void CallRunner::cancelAttempt() {
  Choice.Session->send(addressed(wire::makeEnvelope(fb::CancelT())));
}

void CallRunner::endAttempt() {
  Context.Requests.remove(Call.Request);
  Context.Targets.setFinished(Choice.Target);
  Choice.Session.reset();
}

void CallRunner::giveUp(int status, Step step, const std::string &detail) {
  std::string peer;
  if (Choice.Session) {
    peer = Choice.Target.Value;
    endAttempt();
  }
  ProblemError problem(status, step, peer, detail, Result.ExecutedState);
  if (status == 503)
    problem.retryAfter(RetryAfter.value_or(DefaultRetryAfter));
  throw problem;
}

} // namespace bergamot::bergamotd
