#ifndef BERGAMOT_LIBBERGAMOTROUTING_RETRYPOLICY_H
#define BERGAMOT_LIBBERGAMOTROUTING_RETRYPOLICY_H

#include "libbergamotrouting/routingtypes.h"

#include <list>
#include <unordered_map>

namespace bergamot::routing {

/// Settings of a RetryPolicy.
struct RetrySettings {
  /// Retries and hedges (second attempts in parallel with the first) per
  /// request, averaged over time.
  double BudgetPerRequest = 0.1;
  /// Maximum budget that can accumulate.
  double MaxBudget = 10;
  /// Budget of an account before its first request to a service.
  double InitialBudget = 1;
  std::uint32_t MaxAttempts = 3;
  /// Maximum refused dispatches of one request. They don't count as attempts.
  std::uint32_t MaxRefusals = 16;
  /// Maximum number of budgets; the least recently used one is dropped.
  std::size_t Capacity = 16384;
};

/// A failed attempt that may be retried. MayHaveSentBytes is false only if the
/// back end provably received no byte of the request.
struct RetryCandidate {
  AccountId Account;
  ServiceId Service;
  RequestIdempotency Rule = RequestIdempotency::NonIdempotent;
  AttemptNumber Attempt;
  /// Earlier dispatches of the request that were refused before any byte was
  /// sent to the back end.
  std::uint32_t PriorRefusals = 0;
  Executed Outcome = Executed::Unknown;
  bool MayHaveSentBytes = true;
  /// The next attempt resumes a response that the client has received in part.
  bool ResumesResponse = false;
  TimePoint Deadline;
  /// Earliest time at which the target accepts another attempt. TimePoint{} if
  /// it gave none or if the next attempt goes to another target.
  TimePoint NotBefore;
};

/// Decision on a failed attempt. Requeue puts the request back at the front of
/// the entry's queue: nothing was sent to a back end, so this isn't a retry.
/// With GiveUp, Outcome is what the final response says about execution.
struct RetryVerdict {
  enum class Action { Retry, Requeue, GiveUp };

  Action Next = Action::GiveUp;
  Executed Outcome = Executed::Unknown;
};

/// Decides whether a failed attempt is retried. A non-idempotent request is
/// never sent again once the back end may have received any byte of it. Retries
/// and hedges share one budget per account and service.
class RetryPolicy {
public:
  explicit RetryPolicy(const RetrySettings &settings);

  /// Counts a request, which adds to the budget.
  void addRequest(const AccountId &account, const ServiceId &service);

  /// Decides on a failed attempt. Retries are charged to the budget, except
  /// those that resume a response.
  RetryVerdict decide(const RetryCandidate &failed, TimePoint now);

  /// Decides whether to send a hedge, a second attempt in parallel with the
  /// first, and charges it to the budget. hedgeAt is when the first attempt
  /// counts as late.
  bool tryHedge(const AccountId &account, const ServiceId &service,
                RequestIdempotency rule, TimePoint hedgeAt, TimePoint now);

  std::size_t size() const { return Budgets.size(); }

private:
  struct Budget {
    std::string Key;
    double Balance = 0;
  };

  Budget &budget(const AccountId &account, const ServiceId &service);
  bool trySpend(const AccountId &account, const ServiceId &service);

  RetrySettings Settings;
  std::list<Budget> Lru;
  std::unordered_map<std::string, std::list<Budget>::iterator> Budgets;
};

} // namespace bergamot::routing

#endif
