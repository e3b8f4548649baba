#include "entrypath/exchange.h"

#include "entrypath/callerconnection.h"
#include "entrypath/entry.h"

#include <nlohmann/json.hpp>

namespace bergamot::entrypath {

using adaptertcp::ResponseHead;
using base::TimePoint;
using std::chrono::milliseconds;

Exchange::Exchange(Entry &entry, CallerConnection &caller,
                   adaptertcp::RequestHead head, std::string body,
                   TimePoint arrivedAt)
    : Owner(entry), Caller(&caller), Head(std::move(head)),
      Body(std::move(body)), Number(entry.nextExchangeNumber()),
      ArrivedAt(arrivedAt), DeadlineTimer(entry.loop()),
      SilenceTimer(entry.loop()) {}

Exchange::~Exchange() = default;

void Exchange::start() {
  Facts = Owner.dialect().decodeRequest(Head);
  if (Owner.isLeaving()) {
    // The process may end before a response would be complete; another entry
    // takes the request at once.
    answer(503, "shutting_down");
    return;
  }
  Table = Owner.routeTable();
  if (!Table) {
    Deadline = ArrivedAt + Facts.TimeLeft.value_or(milliseconds(0));
    if (!Owner.holdForConfiguration(shared_from_this()))
      answer(503, "no_configuration");
    return;
  }
  Route = Table->route(Facts.Host, Head.Target);
  if (!Route) {
    answer(404, "no_route");
    return;
  }
  if (!authenticate()) {
    answer(401, "unknown_key");
    return;
  }
  const milliseconds limit =
      Route->Timeout.count() > 0 ? Route->Timeout : milliseconds::max() / 2;
  Deadline = ArrivedAt + std::min({Facts.TimeLeft.value_or(limit), limit,
                                   milliseconds(std::chrono::hours(1))});
  Service = gateway::chooseService(*Route, Owner.draw());
  Owner.dialect().prepareForwarding(Head.Headers, Account);
  armDeadline();
  Owner.enqueue(shared_from_this());
}

bool Exchange::authenticate() {
  Priority = Route->Priority;
  const gateway::ClientAccount *account =
      Facts.Key ? Table->account(*Facts.Key) : nullptr;
  if (account) {
    Account = account->Name;
    Priority = account->Priority.value_or(Priority);
  }
  return account || Route->Public || !Table->hasAccounts();
}

void Exchange::armDeadline() {
  DeadlineTimer.expires_at(Deadline);
  DeadlineTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && !self->Finished)
          self->onDeadline();
      });
}

void Exchange::onDeadline() {
  if (ResponseStarted) {
    cutResponse("deadline_in_stream");
    return;
  }
  const bool maybeExecuted = Sent || ExecutedAttempts > 0;
  answer(maybeExecuted ? 504 : 503, "deadline");
}

void Exchange::answer(int status, const char *reason) {
  if (Finished)
    return;
  endAttempt();
  ResponseHead head;
  head.Status = status;
  if (!Facts.Id.empty())
    Owner.dialect().setRequestId(head.Headers, Facts.Id);
  if (status == 503 || status == 429)
    Owner.setRetryAfter(head.Headers, *this);
  const auto self = shared_from_this();
  finish(reason, status);
  if (Caller)
    Caller->respond(head, "");
}

void Exchange::configurationMissing() { answer(503, "no_configuration"); }

void Exchange::rejectWaiting(const char *reason) {
  if (ResponseStarted) {
    cutResponse(reason);
    return;
  }
  answer(ExecutedAttempts > 0 ? 502 : 503, reason);
}

/// Breaks off a response that has started, so that the caller sees that it is
/// incomplete.
void Exchange::cutResponse(const char *reason) {
  const auto self = shared_from_this();
  endAttempt();
  if (Caller)
    Caller->cutResponse();
  finish(reason, 0);
}

void Exchange::callerLeft() {
  Caller = nullptr;
  if (Finished)
    return;
  endAttempt();
  finish("caller_left", 0);
}

void Exchange::endPause(base::Duration uncounted) {
  if (Finished || !Route)
    return;
  if (TargetId.empty()) {
    // The caller has waited for long, and may be gone.
    rejectWaiting("paused");
    return;
  }
  if (uncounted == base::Duration::zero())
    return;
  Deadline -= uncounted;
  armDeadline();
}

void Exchange::callerDrained() {
  if (Connection)
    Connection->setReading(true);
}

void Exchange::finish(const char *outcome, int status) {
  if (Finished)
    return;
  Finished = true;
  DeadlineTimer.cancel();
  SilenceTimer.cancel();
  log("request.end", outcome, status);
  Owner.removeExchange(*this, outcome, status);
}

void Exchange::log(const char *event, const char *outcome, int status) {
  const TimePoint now = Owner.now();
  if (!Owner.decisions().isAllowed(event, now))
    return;
  nlohmann::json fields = {
      {"request", Facts.Id},
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
  if (!TargetId.empty())
    fields["target"] = TargetId;
  if (!Service.empty() && Dispatches == 0) {
    fields["waiting"] = Owner.waitingCount(Service);
    fields["entries"] = Owner.entryCount();
  }
  if (Dispatches > 0)
    fields["dispatches"] = Dispatches;
  if (Events.eventCount() > 0) {
    fields["events"] = Events.eventCount();
    fields["first_ms"] = base::wholeMilliseconds(FirstEventAt - ArrivedAt);
    fields["gap_ms"] = base::wholeMilliseconds(LongestGap);
  }
  Owner.writeLog(event, fields);
}

} // namespace bergamot::entrypath
