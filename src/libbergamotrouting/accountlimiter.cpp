#include "libbergamotrouting/accountlimiter.h"

#include "libbergamotrouting/rendezvous.h"

#include <algorithm>

namespace bergamot::routing {

namespace {

// Clock rates of any two processes are within 1% of each other, so the entry
// ends a lease 2% early.
constexpr double LeaseLifetimeFactor = 0.98;
constexpr double DemandSmoothing = 0.5;
// Factor on the expected demand when rate tokens are requested. With less,
// entries refuse requests of accounts that are below their limit when arrivals
// vary.
constexpr double DemandHeadroom = 1.25;
constexpr double NegligibleDemand = 0.05;

} // namespace

AccountLimiter::AccountLimiter(const VmId &self, Incarnation incarnation,
                               const QuotaSettings &settings)
    : Self(self), EntryIncarnation(incarnation), Settings(settings) {}

void AccountLimiter::setLimits(
    const std::unordered_map<AccountId, AccountLimits> &limits) {
  std::erase_if(Accounts,
                [&](const auto &it) { return !limits.contains(it.first); });
  for (const auto &[id, value] : limits) {
    Account &account = Accounts[id];
    account.Limits = value;
    account.Owner = rendezvousOwner(id.Value, Entries);
  }
}

void AccountLimiter::setEntries(const std::vector<VmId> &entries) {
  Entries = entries;
  std::erase_if(OwnerLinks, [&](const auto &it) {
    return std::find(entries.begin(), entries.end(), it.first) == entries.end();
  });
  for (auto &[id, link] : OwnerLinks)
    link.ActiveAccounts.clear();
  for (auto &[id, account] : Accounts) {
    account.Owner = rendezvousOwner(id.Value, Entries);
    if (!account.Active || Entries.empty())
      continue;
    account.Active = false;
    activate(id, account, true);
  }
}

LimitVerdict AccountLimiter::admit(const AccountId &account, double cost,
                                   bool leaseArrived, TimePoint now) {
  const auto it = Accounts.find(account);
  if (it == Accounts.end() || Entries.empty())
    return {LimitVerdict::Kind::Refused, Refusal::RateLimit, Settings.Period};
  Account &state = it->second;
  if (!leaseArrived)
    state.ArrivedCostSinceRequest += cost;
  const bool valid = now < state.RateTokensExpiry && now < state.LeaseExpiry;
  activate(account, state, !valid);
  OwnerLink &link = OwnerLinks[state.Owner];
  if (!valid && isUnresponsive(link, now))
    return admitFromEqualShare(state, cost, now);
  if (!valid) {
    state.PeakConcurrency =
        std::max(state.PeakConcurrency, state.InFlight + ++state.Waiting);
    return {LimitVerdict::Kind::Wait, Refusal::None, Settings.Period};
  }
  const Duration untilNextLease =
      std::max(Settings.UrgentInterval, link.SentAt + Settings.Period - now);
  if (state.InFlight >= state.LeasedConcurrency) {
    state.PeakConcurrency =
        std::max(state.PeakConcurrency, state.InFlight + ++state.Waiting);
    return waitOrRefuse(state, link, Refusal::ConcurrencyLimit, untilNextLease,
                        leaseArrived);
  }
  if (state.RateTokens < cost) {
    const Duration refill = fromSeconds(
        (cost - state.RateTokens) / std::max(1e-6, state.Limits.RatePerSecond));
    return waitOrRefuse(state, link, Refusal::RateLimit,
                        std::max(untilNextLease, refill), leaseArrived);
  }
  state.RateTokens -= cost;
  state.PeakConcurrency = std::max(state.PeakConcurrency, ++state.InFlight);
  return {};
}

LimitVerdict AccountLimiter::waitOrRefuse(const Account &account,
                                          OwnerLink &link, Refusal reason,
                                          Duration retryAfter,
                                          bool leaseArrived) {
  // A lease is sized by past demand, so using it up doesn't mean that the
  // account is at its limit: ask the owner before refusing. While the owner
  // reports that the account is at its limit, a flood of requests causes no
  // messages.
  const bool canGrow = account.State == QuotaState::Sufficient && !leaseArrived;
  if (account.State == QuotaState::Withheld || canGrow) {
    link.Urgent = true;
    return {LimitVerdict::Kind::Wait, Refusal::None, retryAfter};
  }
  return {LimitVerdict::Kind::Refused, reason, retryAfter};
}

void AccountLimiter::onRequestFinished(const AccountId &account) {
  const auto it = Accounts.find(account);
  if (it != Accounts.end() && it->second.InFlight > 0)
    --it->second.InFlight;
}

std::vector<OutgoingQuotaRequest>
AccountLimiter::takeDueRequests(TimePoint now) {
  std::vector<OutgoingQuotaRequest> due;
  for (auto &[owner, link] : OwnerLinks) {
    const bool answered = link.Sequence == link.LastAnswered;
    const Duration minInterval =
        link.Urgent && answered ? Settings.UrgentInterval : Settings.Period;
    if (now - link.SentAt < minInterval || link.ActiveAccounts.empty()) {
      // The owner gives a retransmission the same answer as the original, so
      // the entry doesn't miss a period's lease because of a lost message.
      if (answered || now - link.RetransmittedAt < Settings.RetransmitAfter)
        continue;
      link.RetransmittedAt = now;
      due.push_back({owner, link.UnansweredRequest});
      continue;
    }
    if (answered)
      link.UnansweredSince = now;
    link.UnansweredRequest = newRequest(link, now);
    link.Sequence = link.UnansweredRequest.Sequence;
    link.SentAt = link.RetransmittedAt = now;
    link.Urgent = false;
    due.push_back({owner, link.UnansweredRequest});
  }
  return due;
}

QuotaRequest AccountLimiter::newRequest(OwnerLink &link, TimePoint now) {
  const double elapsedPeriods = std::clamp(
      toSeconds(now - link.SentAt) / toSeconds(Settings.Period), 0.0, 1.0);
  QuotaRequest request{Self, EntryIncarnation, ++LastSequence, {}};
  std::vector<AccountId> activeAccounts;
  for (const auto &id : link.ActiveAccounts) {
    const auto found = Accounts.find(id);
    if (found == Accounts.end())
      continue;
    Account &account = found->second;
    request.Demands.push_back(demand(id, account, elapsedPeriods, now));
    account.Active = account.InFlight > 0 ||
                     account.ExpectedCostPerPeriod >= NegligibleDemand;
    if (account.Active)
      activeAccounts.push_back(id);
  }
  link.ActiveAccounts = std::move(activeAccounts);
  return request;
}

void AccountLimiter::applyAnswer(const QuotaAnswer &answer, TimePoint now) {
  const auto it = OwnerLinks.find(answer.Owner);
  // Only the answer to the latest request is applied. The lease expires
  // relative to when that request was sent, which is before the owner starts
  // its own expiry.
  if (it == OwnerLinks.end() || answer.Sequence != it->second.Sequence ||
      answer.Sequence == it->second.LastAnswered)
    return;
  it->second.LastAnswered = answer.Sequence;
  const TimePoint expiry =
      it->second.SentAt +
      fromSeconds(toSeconds(Settings.LeaseLifetime) * LeaseLifetimeFactor);
  if (expiry <= now)
    return;
  for (const auto &lease : answer.Leases) {
    const auto found = Accounts.find(lease.Account);
    if (found == Accounts.end())
      continue;
    Account &account = found->second;
    if (now >= account.RateTokensExpiry)
      account.RateTokens = 0;
    account.RateTokens += lease.RateTokens;
    account.RateTokensExpiry = expiry;
    account.LeasedConcurrency = lease.Concurrency;
    account.State = lease.State;
    account.LeaseExpiry = expiry;
  }
}

bool AccountLimiter::isUnresponsive(const OwnerLink &link,
                                    TimePoint now) const {
  return link.Sequence > link.LastAnswered &&
         now - link.UnansweredSince > Settings.LeaseLifetime;
}

LimitVerdict AccountLimiter::admitFromEqualShare(Account &account, double cost,
                                                 TimePoint now) const {
  const auto count = static_cast<double>(Entries.size());
  const double rate = account.Limits.RatePerSecond / count;
  const double maxRateTokens =
      std::max(cost, rate * toSeconds(Settings.Period));
  const Duration elapsed =
      std::min(now - account.EqualShareRefilledAt, Settings.LeaseLifetime);
  account.EqualShareRateTokens = std::min(
      maxRateTokens, account.EqualShareRateTokens + rate * toSeconds(elapsed));
  account.EqualShareRefilledAt = now;
  const double concurrency = account.Limits.Concurrency / count;
  if (account.InFlight + 1 > concurrency)
    return {LimitVerdict::Kind::Refused, Refusal::ConcurrencyLimit,
            Settings.Period};
  if (account.EqualShareRateTokens < cost)
    return {LimitVerdict::Kind::Refused, Refusal::RateLimit,
            fromSeconds((cost - account.EqualShareRateTokens) /
                        std::max(1e-6, rate))};
  account.EqualShareRateTokens -= cost;
  account.PeakConcurrency =
      std::max(account.PeakConcurrency, ++account.InFlight);
  return {};
}

void AccountLimiter::activate(const AccountId &id, Account &account,
                              bool urgent) {
  OwnerLink &link = OwnerLinks[account.Owner];
  link.Urgent = link.Urgent || urgent;
  if (account.Active)
    return;
  account.Active = true;
  link.ActiveAccounts.push_back(id);
}

QuotaDemand AccountLimiter::demand(const AccountId &id, Account &account,
                                   double elapsedPeriods, TimePoint now) const {
  // A quota request sent before the period is over covers too short a time to
  // estimate the rate: arrivals count in full, and past demand decays in
  // proportion to the elapsed time.
  const double smoothing = DemandSmoothing * elapsedPeriods;
  account.ExpectedCostPerPeriod =
      std::max(account.ArrivedCostSinceRequest,
               (1 - smoothing) * account.ExpectedCostPerPeriod +
                   smoothing * account.ArrivedCostSinceRequest);
  if (now >= account.RateTokensExpiry)
    account.RateTokens = 0;
  QuotaDemand demand;
  demand.Account = id;
  demand.WantedRateTokens =
      std::max(0.0, account.ExpectedCostPerPeriod * DemandHeadroom + 1 -
                        account.RateTokens);
  demand.HeldRateTokens = account.RateTokens;
  demand.InFlight = account.InFlight;
  demand.PeakConcurrency =
      std::max(account.PeakConcurrency + 1, account.InFlight + 1);
  demand.LeasedConcurrency =
      now < account.LeaseExpiry ? account.LeasedConcurrency : 0;
  account.ArrivedCostSinceRequest = 0;
  account.Waiting = 0;
  account.PeakConcurrency = account.InFlight;
  return demand;
}

} // namespace bergamot::routing
