#include "bergamotd/callrunner.h"

#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bergamot::bergamotd {

namespace fb = wire::fb;
using base::Step;
using std::chrono::steady_clock;

namespace {

/// Bytes of one answer that may be on their way to or held by this entry.
constexpr std::uint64_t WindowBytes = 32 * 1024;

/// The window is renewed when half of it was consumed, which keeps the answer
/// flowing with few messages.
constexpr std::uint64_t RenewBytes = WindowBytes / 2;

/// Attempts after which a call is given up if targets keep failing.
constexpr std::uint32_t MostFailedAttempts = 3;

/// How often a waiting call checks that its caller is still there.
constexpr std::chrono::milliseconds ClientCheckInterval{250};

constexpr std::chrono::milliseconds DefaultRetryAfter{1000};

const std::string *findHeader(const AnswerHead &head, std::string_view name) {
  for (const auto &[key, value] : head.Headers)
    if (key.size() == name.size() &&
        std::equal(key.begin(), key.end(), name.begin(), [](char a, char b) {
          return std::tolower(static_cast<unsigned char>(a)) == b;
        }))
      return &value;
  return nullptr;
}

} // namespace

CallRunner::CallRunner(CallContext context, const CallerRequest &call,
                       adapterhttp::HttpResponder &responder,
                       DispatchGate *gate)
    : Context(context), Call(call), Responder(responder), Gate(gate) {}

CallResult CallRunner::run() {
  for (;;) {
    startAttempt();
    const Next next = followAttempt();
    endAttempt();
    if (next == Next::Done)
      break;
  }
  Result.Attempts = Attempt;
  Result.Bytes = Delivered;
  return std::move(Result);
}

void CallRunner::startAttempt() {
  ++Attempt;
  routing::SelectionRequest request;
  request.Units = Call.Units;
  request.Tried = Tried;
  Choice = Context.Targets.choose(Call.Service, request);
  if (!Choice.Session) {
    RetryAfter =
        RetryAfter.value_or(std::chrono::ceil<std::chrono::milliseconds>(
            Choice.Selection.RetryAfter));
    giveUp(503, Step::Route,
           "no target of service '" + Call.Service.Value + "' can take it: " +
               routing::refusalName(Choice.Selection.Reason));
  }
  if (Gate != nullptr && !Gate->takeDispatch())
    giveUp(503, Step::Claim, "the claim on the idempotency key has expired");
  Channel =
      std::make_shared<AnswerChannel>(Delivered + Pending.size(), WindowBytes);
  Context.Requests.add(Call.Request, {Attempt}, Choice.Session, Channel);
  logChoice();
  sendDispatch();
}

void CallRunner::logChoice() const {
  const auto &selection = Choice.Selection;
  base::logDecision("route.choose",
                    {{"request", Call.Request.Value},
                     {"caller_request", Call.CallerRequestId},
                     {"attempt", Attempt},
                     {"account", Call.Account.Value},
                     {"service", Call.Service.Value},
                     {"target", Choice.Target.Value},
                     {"grant", selection.Permit ? selection.Permit->Value : 0},
                     {"score", selection.Score},
                     {"prefix_match", selection.Match},
                     {"units", Call.Units},
                     {"idempotent", Call.IsIdempotent},
                     {"offset", Delivered + Pending.size()}});
}

void CallRunner::sendDispatch() {
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
  if (Choice.Selection.Permit)
    dispatch.grant = Choice.Selection.Permit->Value;
  dispatch.deadline_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(
             Call.Deadline - steady_clock::now())
             .count()));
  dispatch.priority = static_cast<std::uint8_t>(Call.Priority);
  dispatch.idempotent = Call.IsIdempotent;
  dispatch.resumable =
      Call.Kind == config::ServiceKind::Model && Call.IsIdempotent;
  dispatch.streaming = Call.IsStreaming;
  dispatch.resume_offset = Delivered + Pending.size();
  dispatch.window = Delivered + WindowBytes;
  WindowSent = dispatch.window;
  auto message = wire::makeEnvelope(std::move(dispatch));
  message.request = Call.Request.Value;
  message.attempt = Attempt;
  if (!Choice.Session->send(std::move(message)))
    Channel->addFailure({Executed::No, "connect", "the session is closed"});
}

CallRunner::Next CallRunner::followAttempt() {
  bool hasEnded = false;
  for (;;) {
    const Next next = takeEvent(nextEvent(), hasEnded);
    if (hasEnded)
      return next;
  }
}

AnswerEvent CallRunner::nextEvent() {
  for (;;) {
    const auto now = steady_clock::now();
    const auto check = std::min(Call.Deadline, now + ClientCheckInterval);
    if (Channel->waitForEvent(check) || now >= Call.Deadline)
      return Channel->nextEvent(Call.Deadline);
    // A caller that left doesn't need the answer; work that must not be
    // repeated still runs to its end so that its outcome is recorded.
    if (Call.IsIdempotent && Responder.isClientGone()) {
      cancelAttempt();
      Result.IsClientGone = true;
      return AttemptFailed{Executed::Unknown, "answer", "the caller left"};
    }
  }
}

CallRunner::Next CallRunner::takeEvent(AnswerEvent event, bool &hasEnded) {
  if (auto *head = std::get_if<AnswerHead>(&event)) {
    takeHead(std::move(*head));
    return Next::Done;
  }
  if (const auto *bytes = std::get_if<AnswerBytes>(&event)) {
    hasEnded = !takeBytes(bytes->Bytes);
    return Next::Done;
  }
  hasEnded = true;
  if (const auto *refused = std::get_if<AttemptRefused>(&event))
    return takeRefused(*refused);
  if (const auto *failed = std::get_if<AttemptFailed>(&event))
    return takeFailed(*failed);
  if (std::holds_alternative<AnswerParked>(event)) {
    Context.Metrics.addCount("bergamot_entry_parked_total", "");
    return Next::Retry;
  }
  takeEnd(std::get<AnswerEnd>(event));
  return Next::Done;
}

CallRunner::Next CallRunner::takeRefused(const AttemptRefused &refused) {
  Tried.push_back(Choice.Target);
  if (Gate != nullptr)
    Gate->setRefused();
  RetryAfter = RetryAfter ? std::min(*RetryAfter, refused.RetryAfter)
                          : refused.RetryAfter;
  Context.Metrics.addCount("bergamot_entry_refused_attempts_total", "");
  return Next::Retry;
}

CallRunner::Next CallRunner::takeFailed(const AttemptFailed &failed) {
  if (Result.IsClientGone)
    return Next::Done;
  Tried.push_back(Choice.Target);
  ++FailedAttempts;
  if (failed.ExecutedState != Executed::No)
    Result.ExecutedState = failed.ExecutedState;
  const bool mayRepeat =
      failed.ExecutedState == Executed::No || Call.IsIdempotent;
  const bool isLate = steady_clock::now() >= Call.Deadline;
  base::logDecision("route.failed",
                    {{"request", Call.Request.Value},
                     {"attempt", Attempt},
                     {"target", Choice.Target.Value},
                     {"step", failed.Step},
                     {"detail", failed.Detail},
                     {"executed", executedName(failed.ExecutedState)},
                     {"repeat", mayRepeat && !isLate}});
  if (isLate) {
    cancelAttempt();
    giveUp(504, Step::Answer, failed.Detail);
  }
  if (!mayRepeat || FailedAttempts >= MostFailedAttempts ||
      (IsStarted && !canResume()))
    giveUp(502, Step::Answer, failed.Detail);
  if (Gate != nullptr && failed.ExecutedState == Executed::No)
    Gate->setRefused();
  if (!IsStarted) {
    Head.reset();
    Pending.clear();
  }
  return Next::Retry;
}

bool CallRunner::canResume() const {
  return Call.Kind == config::ServiceKind::Model && Call.IsIdempotent && Head &&
         Head->Status == 200;
}

void CallRunner::takeHead(AnswerHead head) {
  Result.ExecutedState = Executed::Yes;
  Result.Status = head.Status;
  // The head of a resumed answer was delivered by an earlier attempt.
  if (!Head)
    Head = std::move(head);
}

bool CallRunner::takeBytes(const std::string &bytes) {
  Pending += bytes;
  if (!IsStarted && !mustStart())
    return true;
  if (!IsStarted)
    startResponse();
  if (!writePending()) {
    cancelAttempt();
    Result.IsClientGone = true;
    return false;
  }
  sendWindow();
  return true;
}

bool CallRunner::mustStart() const {
  return Call.IsStreaming || Pending.size() >= WindowBytes;
}

void CallRunner::startResponse() {
  std::vector<adapterhttp::HttpHeader> headers = {
      {"X-Request-Id", Call.CallerRequestId}};
  const auto *type = findHeader(*Head, "content-type");
  if (type != nullptr)
    headers.push_back({"Content-Type", *type});
  const auto *length = findHeader(*Head, "content-length");
  std::optional<std::size_t> size;
  if (length != nullptr)
    size = std::strtoull(length->c_str(), nullptr, 10);
  Responder.start(Head->Status, headers, size);
  IsStarted = true;
}

bool CallRunner::writePending() {
  if (!Responder.write(Pending, Call.Deadline))
    return false;
  Delivered += Pending.size();
  Pending.clear();
  return true;
}

void CallRunner::takeEnd(const AnswerEnd &end) {
  Result.IsComplete = end.TotalLength == Delivered + Pending.size();
  const auto *type = findHeader(*Head, "content-type");
  Result.ContentType = type != nullptr ? *type : "";
  if (IsStarted) {
    // Without finish() the caller sees a cut response instead of a whole one.
    if (Result.IsComplete)
      Responder.finish();
    return;
  }
  Result.Body = Pending;
  std::vector<adapterhttp::HttpHeader> headers = {
      {"X-Request-Id", Call.CallerRequestId}};
  if (type != nullptr)
    headers.push_back({"Content-Type", *type});
  Responder.respond(Head->Status, headers, Pending, Call.Deadline);
  Delivered = Pending.size();
}

void CallRunner::sendWindow() {
  const std::uint64_t next = Delivered + WindowBytes;
  if (next < WindowSent + RenewBytes)
    return;
  WindowSent = next;
  fb::WindowT window;
  window.received_up_to = next;
  auto message = wire::makeEnvelope(window);
  message.request = Call.Request.Value;
  message.attempt = Attempt;
  Choice.Session->send(std::move(message));
}

void CallRunner::cancelAttempt() {
  auto message = wire::makeEnvelope(fb::CancelT());
  message.request = Call.Request.Value;
  message.attempt = Attempt;
  Choice.Session->send(std::move(message));
}

void CallRunner::endAttempt() {
  Context.Requests.remove(Call.Request);
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
