#include "libbergamotrouting/retrypolicy.h"

#include <algorithm>

namespace bergamot::routing {

RetryPolicy::RetryPolicy(const RetrySettings &settings) : Settings(settings) {}

void RetryPolicy::addRequest(const AccountId &account,
                             const ServiceId &service) {
  Budget &entry = budget(account, service);
  entry.Tokens =
      std::min(Settings.MostBudget, entry.Tokens + Settings.BudgetPerRequest);
}

RetryVerdict RetryPolicy::decide(const FailedAttempt &failed, TimePoint now) {
  // Sent bytes may have been executed whatever the peer reports.
  const Executed outcome = failed.BytesSent && failed.Outcome == Executed::No
                               ? Executed::Unknown
                               : failed.Outcome;
  const RetryVerdict giveUp{RetryVerdict::Action::GiveUp, outcome};
  if (failed.Rule == RepeatRule::NonIdempotent && outcome != Executed::No)
    return giveUp;
  if (std::max(now, failed.NotBefore) >= failed.Deadline)
    return giveUp;
  // The budget bounds the load that retries add to back ends; a proven refusal
  // adds none. The count of refusals bounds the messages.
  if (outcome == Executed::No)
    return failed.RefusedBefore < Settings.MostRefusals
               ? RetryVerdict{RetryVerdict::Action::Requeue, outcome}
               : giveUp;
  if (failed.Attempt.Value - failed.RefusedBefore >= Settings.MostAttempts)
    return giveUp;
  // A resumed response asks an engine only for work that the failed one has
  // not done, and without it the caller's response would be cut.
  if (!failed.Resumes && !take(failed.Account, failed.Service))
    return giveUp;
  return {RetryVerdict::Action::SendAgain, outcome};
}

bool RetryPolicy::takeHedge(const AccountId &account, const ServiceId &service,
                            RepeatRule rule, TimePoint hedgeAt, TimePoint now) {
  return rule == RepeatRule::Idempotent && now >= hedgeAt &&
         take(account, service);
}

RetryPolicy::Budget &RetryPolicy::budget(const AccountId &account,
                                         const ServiceId &service) {
  // The length keeps (ab, c) and (a, bc) apart.
  const std::string key = std::to_string(account.Value.size()) + ":" +
                          account.Value + service.Value;
  const auto it = Budgets.find(key);
  if (it != Budgets.end()) {
    ByUse.splice(ByUse.begin(), ByUse, it->second);
    return *it->second;
  }
  if (Budgets.size() >= Settings.Capacity && !ByUse.empty()) {
    Budgets.erase(ByUse.back().Key);
    ByUse.pop_back();
  }
  ByUse.push_front({key, Settings.FirstBudget});
  Budgets.emplace(key, ByUse.begin());
  return ByUse.front();
}

bool RetryPolicy::take(const AccountId &account, const ServiceId &service) {
  Budget &entry = budget(account, service);
  // A hair below 1 counts as 1: ten times 0.1 falls short in binary.
  if (entry.Tokens < 1 - 1e-9)
    return false;
  entry.Tokens = std::max(0.0, entry.Tokens - 1);
  return true;
}

} // namespace bergamot::routing
