#include "bergamotd/waitingroom.h"

#include "bergamotd/problem.h"

#include <algorithm>

namespace bergamot::bergamotd {

using base::Step;
using routing::Refusal;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// How often a turn is given without a sign of free capacity, and overdue
/// calls are refused.
constexpr milliseconds PumpInterval{10};

/// Weight of the latest call in the mean service time.
constexpr int MeanDivisor = 16;

[[noreturn]] void throwRefused(const CallerRequest &call, Refusal reason,
                               base::Duration retryAfter) {
  throw ProblemError(503, Step::Admit, "",
                     "service '" + call.Service.Value +
                         "' is overloaded: " + routing::refusalName(reason))
      .retryAfter(std::chrono::ceil<milliseconds>(retryAfter));
}

} // namespace

WaitingRoom::WaitingRoom() : Pump([this] { pumpLoop(); }) {}

WaitingRoom::~WaitingRoom() {
  {
    const std::lock_guard lock(Mutex);
    IsStopping = true;
  }
  StopChanged.notify_all();
  Pump.join();
}

WaitingRoom::Queue &WaitingRoom::queueOf(const base::ServiceId &service) {
  return Queues.try_emplace(service, routing::QueueSettings{}).first->second;
}

std::size_t WaitingRoom::waitingCount(const base::ServiceId &service) const {
  const std::lock_guard lock(Mutex);
  const auto it = Queues.find(service);
  return it == Queues.end() ? 0 : it->second.Requests.size();
}

bool WaitingRoom::hasWaiters(const base::ServiceId &service) const {
  return waitingCount(service) > 0;
}

void WaitingRoom::waitForTurn(const CallerRequest &call) {
  Lock lock(Mutex);
  Queue &queue = queueOf(call.Service);
  const auto waiter = std::make_shared<Waiter>();
  Waiters[call.Request] = waiter;
  try {
    add(queue, call);
  } catch (const ProblemError &) {
    Waiters.erase(call.Request);
    throw;
  }
  waiter->Changed.wait(lock, [&] { return waiter->State != Turn::Waiting; });
  Waiters.erase(call.Request);
  if (waiter->State == Turn::Refused)
    throwRefused(call, waiter->Reason,
                 std::max(queue.MeanTime, base::Duration(PumpInterval)));
}

void WaitingRoom::add(Queue &queue, const CallerRequest &call) {
  routing::QueuedRequest request;
  request.Request = call.Request;
  request.Account = call.Account;
  request.Weight = call.Weight;
  request.Priority = call.Priority;
  request.Bytes = call.Body.size();
  request.Deadline = call.Deadline;
  request.ExpectedServiceTime = queue.MeanTime;
  const auto verdict = queue.Requests.add(request, steady_clock::now());
  if (verdict.Evicted)
    refuse(*verdict.Evicted, Refusal::QueueFull);
  if (verdict.Reason != Refusal::None)
    throwRefused(call, verdict.Reason, verdict.RetryAfter);
}

void WaitingRoom::refuse(const base::RequestId &request, Refusal reason) {
  const auto it = Waiters.find(request);
  if (it == Waiters.end())
    return;
  it->second->State = Turn::Refused;
  it->second->Reason = reason;
  it->second->Changed.notify_one();
}

void WaitingRoom::grantNext(Queue &queue, base::TimePoint now) {
  const auto next = queue.Requests.removeNext(now);
  if (!next)
    return;
  const auto it = Waiters.find(*next);
  if (it == Waiters.end())
    return;
  it->second->State = Turn::Granted;
  it->second->Changed.notify_one();
}

void WaitingRoom::setCapacityFree(const base::ServiceId &service) {
  const std::lock_guard lock(Mutex);
  const auto it = Queues.find(service);
  if (it != Queues.end())
    grantNext(it->second, steady_clock::now());
}

void WaitingRoom::addServiceTime(const base::ServiceId &service,
                                 base::Duration time) {
  const std::lock_guard lock(Mutex);
  auto &mean = queueOf(service).MeanTime;
  mean += (time - mean) / MeanDivisor;
}

void WaitingRoom::pumpLoop() {
  Lock lock(Mutex);
  while (!IsStopping) {
    const auto now = steady_clock::now();
    for (auto &[service, queue] : Queues) {
      for (const auto &request : queue.Requests.removeExpired(now))
        refuse(request, Refusal::WaitTooLong);
      grantNext(queue, now);
    }
    StopChanged.wait_for(lock, PumpInterval);
  }
}

} // namespace bergamot::bergamotd
