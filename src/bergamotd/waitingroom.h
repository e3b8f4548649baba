#ifndef BERGAMOT_BERGAMOTD_WAITINGROOM_H
#define BERGAMOT_BERGAMOTD_WAITINGROOM_H

#include "bergamotd/callerrequest.h"
#include "libbergamotrouting/fairqueue.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace bergamot::bergamotd {

/// Calls that wait for a target with free capacity, one fair queue per
/// service. Thread-safe.
class WaitingRoom {
public:
  WaitingRoom();
  ~WaitingRoom();
  WaitingRoom(const WaitingRoom &) = delete;
  WaitingRoom &operator=(const WaitingRoom &) = delete;

  /// Returns whether calls to the service wait. A new call must not overtake
  /// them.
  bool hasWaiters(const base::ServiceId &service) const;

  /// Waits for the call's turn to choose a target. Throws ProblemError with
  /// status 503 as soon as it is clear that its turn comes too late.
  void waitForTurn(const CallerRequest &call);

  /// Gives the turn to the next call, as the last one found a target or
  /// capacity became free.
  void setCapacityFree(const base::ServiceId &service);

  /// Counts how long a call took from its dispatch to its end.
  void addServiceTime(const base::ServiceId &service, base::Duration time);

private:
  using Lock = std::unique_lock<std::mutex>;

  enum class Turn { Waiting, Granted, Refused };

  struct Waiter {
    Turn State = Turn::Waiting;
    routing::Refusal Reason = routing::Refusal::WaitTooLong;
    std::condition_variable Changed;
  };

  struct Queue {
    explicit Queue(const routing::QueueSettings &settings)
        : Requests(settings) {}
    routing::FairQueue Requests;
    base::Duration MeanTime{};
  };

  Queue &queueOf(const base::ServiceId &service);
  void add(Queue &queue, const CallerRequest &call);
  void grantNext(Queue &queue, base::TimePoint now);
  void refuse(const base::RequestId &request, routing::Refusal reason);
  void pumpLoop();

  mutable std::mutex Mutex;
  std::map<base::ServiceId, Queue> Queues;
  std::unordered_map<base::RequestId, std::shared_ptr<Waiter>> Waiters;
  bool IsStopping = false;
  std::condition_variable StopChanged;
  std::thread Pump;
};

} // namespace bergamot::bergamotd

#endif
