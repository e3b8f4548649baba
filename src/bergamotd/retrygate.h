#ifndef BERGAMOT_BERGAMOTD_RETRYGATE_H
#define BERGAMOT_BERGAMOTD_RETRYGATE_H

#include "libbergamotrouting/retrypolicy.h"

#include <mutex>

namespace bergamot::bergamotd {

/// The retry policy of an entry, shared by the threads that serve callers.
class RetryGate {
public:
  RetryGate() : Policy(routing::RetrySettings{}) {}

  /// Counts a first attempt, which adds to the retry budget.
  void addRequest(const base::AccountId &account,
                  const base::ServiceId &service) {
    const std::lock_guard lock(Mutex);
    Policy.addRequest(account, service);
  }

  /// Decides what follows a failed attempt.
  routing::RetryVerdict decide(const routing::RetryCandidate &failed,
                               base::TimePoint now) {
    const std::lock_guard lock(Mutex);
    return Policy.decide(failed, now);
  }

private:
  std::mutex Mutex;
  routing::RetryPolicy Policy;
};

} // namespace bergamot::bergamotd

#endif
