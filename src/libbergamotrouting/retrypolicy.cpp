#include "libbergamotrouting/retrypolicy.h"

#include <algorithm>

namespace bergamot::routing {

RetryPolicy::RetryPolicy(const RetrySettings &settings) : Settings(settings) {}

void RetryPolicy::addRequest(const AccountId &account,
                             const ServiceId &service) {
  Budget &accountBudget = budget(account, service);
  accountBudget.Balance = std::min(
      Settings.MaxBudget, accountBudget.Balance + Settings.BudgetPerRequest);
}

RetryVerdict RetryPolicy::decide(const RetryCandidate &failed, TimePoint now) {
  // If bytes were sent, the request may have been executed whatever the target
  // reports.
  const Executed outcome =
      failed.MayHaveSentBytes && failed.Outcome == Executed::No
          ? Executed::Unknown
          : failed.Outcome;
  const RetryVerdict giveUp{RetryVerdict::Action::GiveUp, outcome};
  if (failed.Rule == RequestIdempotency::NonIdempotent &&
      outcome != Executed::No)
    return giveUp;
  if (std::max(now, failed.NotBefore) >= failed.Deadline)
    return giveUp;
  // The budget bounds the load that retries add to back ends; a request that
  // was provably not executed adds none. MaxRefusals bounds the number of
  // messages.
  if (outcome == Executed::No)
    return failed.PriorRefusals < Settings.MaxRefusals
               ? RetryVerdict{RetryVerdict::Action::Requeue, outcome}
               : giveUp;
  if (failed.Attempt.Value - failed.PriorRefusals >= Settings.MaxAttempts)
    return giveUp;
  // Resuming a response isn't charged: it asks an engine only for work that the
  // failed one hasn't done, and without it the client's response would be
  // truncated.
  if (!failed.ResumesResponse && !trySpend(failed.Account, failed.Service))
    return giveUp;
  return {RetryVerdict::Action::Retry, outcome};
}

bool RetryPolicy::tryHedge(const AccountId &account, const ServiceId &service,
                           RequestIdempotency rule, TimePoint hedgeAt,
                           TimePoint now) {
  return rule == RequestIdempotency::Idempotent && now >= hedgeAt &&
         trySpend(account, service);
}

RetryPolicy::Budget &RetryPolicy::budget(const AccountId &account,
                                         const ServiceId &service) {
  // The length prefix makes the keys of (ab, c) and (a, bc) differ.
  const std::string key = std::to_string(account.Value.size()) + ":" +
                          account.Value + service.Value;
  const auto it = Budgets.find(key);
  if (it != Budgets.end()) {
    Lru.splice(Lru.begin(), Lru, it->second);
    return *it->second;
  }
  if (Budgets.size() >= Settings.Capacity && !Lru.empty()) {
    Budgets.erase(Lru.back().Key);
    Lru.pop_back();
  }
  Lru.push_front({key, Settings.InitialBudget});
  Budgets.emplace(key, Lru.begin());
  return Lru.front();
}

bool RetryPolicy::trySpend(const AccountId &account, const ServiceId &service) {
  Budget &accountBudget = budget(account, service);
  // The tolerance covers rounding: ten times 0.1 is less than 1 in binary.
  if (accountBudget.Balance < 1 - 1e-9)
    return false;
  accountBudget.Balance = std::max(0.0, accountBudget.Balance - 1);
  return true;
}

} // namespace bergamot::routing
