#ifndef BERGAMOT_LIBBERGAMOTROUTING_RETRYPOLICY_H
#define BERGAMOT_LIBBERGAMOTROUTING_RETRYPOLICY_H

#include "libbergamotrouting/routingtypes.h"

#include <list>
#include <unordered_map>

namespace bergamot::routing {

/// Settings of a RetryPolicy.
struct RetrySettings {
  /// Further attempts per first attempt, over time.
  double BudgetPerRequest = 0.1;
  /// Budget that may be saved up.
  double MostBudget = 10;
  /// Budget of an account that has sent nothing yet.
  double FirstBudget = 1;
  std::uint32_t MostAttempts = 3;
  /// Refused dispatches of one request that don't count as attempts.
  std::uint32_t MostRefusals = 16;
  /// Budgets kept; the least recently used one is forgotten.
  std::size_t Capacity = 16384;
};

/// How an attempt failed. BytesSent says that any byte of the request may have
/// reached the back end; a true Refused proves that none did.
struct FailedAttempt {
  AccountId Account;
  ServiceId Service;
  RepeatRule Rule = RepeatRule::NonIdempotent;
  AttemptNumber Attempt;
  /// Earlier dispatches of the request that were refused before any byte was
  /// sent to the back end.
  std::uint32_t RefusedBefore = 0;
  Executed Outcome = Executed::Unknown;
  bool BytesSent = true;
  /// The next attempt continues a response that the caller has in part.
  bool Resumes = false;
  TimePoint Deadline;
  /// When the target said that it may be tried again; unset for other targets.
  TimePoint NotBefore;
};

/// What follows a failed attempt. Requeue puts the request back to the front of
/// the entry's queue: nothing was sent to a back end, so this is no retry.
/// GiveUp carries what the final response says about execution.
struct RetryVerdict {
  enum class Action { SendAgain, Requeue, GiveUp };

  Action Next = Action::GiveUp;
  Executed Outcome = Executed::Unknown;
};

/// Decides whether a failed attempt is repeated. A non-idempotent request is
/// never sent again once any byte may have reached the back end. Retries and
/// hedges share one budget per account and service.
class RetryPolicy {
public:
  explicit RetryPolicy(const RetrySettings &settings);

  /// Counts a first attempt, which adds to the budget.
  void addRequest(const AccountId &account, const ServiceId &service);

  /// Decides on a failed attempt and takes from the budget if it is repeated.
  RetryVerdict decide(const FailedAttempt &failed, TimePoint now);

  /// Decides whether a second attempt runs beside the first one, and takes
  /// from the budget if so. hedgeAt is when the first is late.
  bool takeHedge(const AccountId &account, const ServiceId &service,
                 RepeatRule rule, TimePoint hedgeAt, TimePoint now);

  std::size_t size() const { return Budgets.size(); }

private:
  struct Budget {
    std::string Key;
    double Tokens = 0;
  };

  Budget &budget(const AccountId &account, const ServiceId &service);
  bool take(const AccountId &account, const ServiceId &service);

  RetrySettings Settings;
  std::list<Budget> ByUse;
  std::unordered_map<std::string, std::list<Budget>::iterator> Budgets;
};

} // namespace bergamot::routing

#endif
