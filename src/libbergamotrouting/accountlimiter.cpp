#include "libbergamotrouting/accountlimiter.h"

#include "libbergamotrouting/rendezvous.h"

#include <algorithm>

namespace bergamot::routing {

namespace {

// Clocks of two processes run at rates within 1% of each other, so a lease
// ends 2% early at the entry.
constexpr double LeaseMargin = 0.98;
constexpr double DemandSmoothing = 0.5;
// Tokens asked for beyond the expected demand. With less, entries refuse
// requests of accounts that are below their limit when arrivals vary.
constexpr double Headroom = 1.25;
constexpr double ForgottenDemand = 0.05;

} // namespace

AccountLimiter::AccountLimiter(const VmId &self, Incarnation life,
                               const QuotaSettings &settings)
    : Self(self), Life(life), Settings(settings) {}

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
  std::erase_if(Links, [&](const auto &it) {
    return std::find(entries.begin(), entries.end(), it.first) == entries.end();
  });
  for (auto &[id, link] : Links)
    link.Active.clear();
  for (auto &[id, account] : Accounts) {
    account.Owner = rendezvousOwner(id.Value, Entries);
    if (!account.Active || Entries.empty())
      continue;
    account.Active = false;
    activate(id, account, true);
  }
}

LimitVerdict AccountLimiter::admit(const AccountId &account, double cost,
                                   bool repeated, TimePoint now) {
  const auto it = Accounts.find(account);
  if (it == Accounts.end() || Entries.empty())
    return {LimitVerdict::Kind::Refused, Refusal::RateLimit, Settings.Period};
  Account &entry = it->second;
  if (!repeated)
    entry.Arrived += cost;
  const bool valid = now < entry.TokensExpiry && now < entry.LeaseExpiry;
  activate(account, entry, !valid);
  Link &link = Links[entry.Owner];
  if (!valid && isSilent(link, now))
    return admitBySplit(entry, cost, now);
  if (!valid) {
    entry.Peak = std::max(entry.Peak, entry.InFlight + ++entry.Waiting);
    return {LimitVerdict::Kind::Wait, Refusal::None, Settings.Period};
  }
  const Duration untilSlice =
      std::max(Settings.UrgentAfter, link.SentAt + Settings.Period - now);
  if (entry.InFlight >= entry.Leased) {
    entry.Peak = std::max(entry.Peak, entry.InFlight + ++entry.Waiting);
    return takeShortfall(entry, link, Refusal::ConcurrencyLimit, untilSlice,
                         repeated);
  }
  if (entry.Tokens < cost) {
    const Duration refill = fromSeconds(
        (cost - entry.Tokens) / std::max(1e-6, entry.Limits.RatePerSecond));
    return takeShortfall(entry, link, Refusal::RateLimit,
                         std::max(untilSlice, refill), repeated);
  }
  entry.Tokens -= cost;
  entry.Peak = std::max(entry.Peak, ++entry.InFlight);
  return {};
}

LimitVerdict AccountLimiter::takeShortfall(const Account &account, Link &link,
                                           Refusal reason, Duration retryAfter,
                                           bool repeated) {
  // A slice sized by past demand doesn't show that the account is at its
  // limit, so the owner is asked before a request is refused. While the owner
  // says that the account is at its limit, a flood causes no messages.
  const bool canGrow = account.State == QuotaState::Sufficient && !repeated;
  if (account.State == QuotaState::Withheld || canGrow) {
    link.Urgent = true;
    return {LimitVerdict::Kind::Wait, Refusal::None, retryAfter};
  }
  return {LimitVerdict::Kind::Refused, reason, retryAfter};
}

void AccountLimiter::setFinished(const AccountId &account) {
  const auto it = Accounts.find(account);
  if (it != Accounts.end() && it->second.InFlight > 0)
    --it->second.InFlight;
}

std::vector<OutgoingQuotaRequest> AccountLimiter::dueRequests(TimePoint now) {
  std::vector<OutgoingQuotaRequest> due;
  for (auto &[owner, link] : Links) {
    const bool answered = link.Sequence == link.Answered;
    const Duration spacing =
        link.Urgent && answered ? Settings.UrgentAfter : Settings.Period;
    if (now - link.SentAt < spacing || link.Active.empty()) {
      // The owner answers a repeat as it answered the first copy, so a lost
      // message doesn't cost the entry its part of the period.
      if (answered || now - link.RepeatedAt < Settings.RepeatAfter)
        continue;
      link.RepeatedAt = now;
      due.push_back({owner, link.Unanswered});
      continue;
    }
    if (answered)
      link.UnansweredSince = now;
    link.Unanswered = newRequest(link, now);
    link.Sequence = link.Unanswered.Sequence;
    link.SentAt = link.RepeatedAt = now;
    link.Urgent = false;
    due.push_back({owner, link.Unanswered});
  }
  return due;
}

QuotaRequest AccountLimiter::newRequest(Link &link, TimePoint now) {
  const double periods = std::clamp(
      toSeconds(now - link.SentAt) / toSeconds(Settings.Period), 0.0, 1.0);
  QuotaRequest request{Self, Life, ++LastSequence, {}};
  std::vector<AccountId> active;
  for (const auto &id : link.Active) {
    const auto found = Accounts.find(id);
    if (found == Accounts.end())
      continue;
    Account &account = found->second;
    request.Demands.push_back(demand(id, account, periods, now));
    account.Active =
        account.InFlight > 0 || account.Expected >= ForgottenDemand;
    if (account.Active)
      active.push_back(id);
  }
  link.Active = std::move(active);
  return request;
}

void AccountLimiter::addSlice(const QuotaSlice &slice, TimePoint now) {
  const auto it = Links.find(slice.Owner);
  // Only the answer to the newest request is taken. The deadline counts from
  // when that was sent, which is before the owner's own deadline starts.
  if (it == Links.end() || slice.Sequence != it->second.Sequence ||
      slice.Sequence == it->second.Answered)
    return;
  it->second.Answered = slice.Sequence;
  const TimePoint expiry =
      it->second.SentAt +
      fromSeconds(toSeconds(Settings.Lifetime) * LeaseMargin);
  if (expiry <= now)
    return;
  for (const auto &part : slice.Parts) {
    const auto found = Accounts.find(part.Account);
    if (found == Accounts.end())
      continue;
    Account &account = found->second;
    if (now >= account.TokensExpiry)
      account.Tokens = 0;
    account.Tokens += part.Tokens;
    account.TokensExpiry = expiry;
    account.Leased = part.Concurrency;
    account.State = part.State;
    account.LeaseExpiry = expiry;
  }
}

bool AccountLimiter::isSilent(const Link &link, TimePoint now) const {
  return link.Sequence > link.Answered &&
         now - link.UnansweredSince > Settings.Lifetime;
}

LimitVerdict AccountLimiter::admitBySplit(Account &account, double cost,
                                          TimePoint now) const {
  const auto count = static_cast<double>(Entries.size());
  const double rate = account.Limits.RatePerSecond / count;
  const double most = std::max(cost, rate * toSeconds(Settings.Period));
  const Duration passed = std::min(now - account.SplitAt, Settings.Lifetime);
  account.SplitTokens =
      std::min(most, account.SplitTokens + rate * toSeconds(passed));
  account.SplitAt = now;
  const double places = account.Limits.Concurrency / count;
  if (account.InFlight + 1 > places)
    return {LimitVerdict::Kind::Refused, Refusal::ConcurrencyLimit,
            Settings.Period};
  if (account.SplitTokens < cost)
    return {LimitVerdict::Kind::Refused, Refusal::RateLimit,
            fromSeconds((cost - account.SplitTokens) / std::max(1e-6, rate))};
  account.SplitTokens -= cost;
  account.Peak = std::max(account.Peak, ++account.InFlight);
  return {};
}

void AccountLimiter::activate(const AccountId &id, Account &account,
                              bool urgent) {
  Link &link = Links[account.Owner];
  link.Urgent = link.Urgent || urgent;
  if (account.Active)
    return;
  account.Active = true;
  link.Active.push_back(id);
}

QuotaDemand AccountLimiter::demand(const AccountId &id, Account &account,
                                   double periods, TimePoint now) const {
  // A message sent before the period is over says little about the rate, so
  // what arrived counts in full and the memory fades with the time passed.
  const double smoothing = DemandSmoothing * periods;
  account.Expected =
      std::max(account.Arrived, (1 - smoothing) * account.Expected +
                                    smoothing * account.Arrived);
  if (now >= account.TokensExpiry)
    account.Tokens = 0;
  QuotaDemand demand;
  demand.Account = id;
  demand.Wanted =
      std::max(0.0, account.Expected * Headroom + 1 - account.Tokens);
  demand.Held = account.Tokens;
  demand.InFlight = account.InFlight;
  demand.Peak = std::max(account.Peak + 1, account.InFlight + 1);
  demand.Leased = now < account.LeaseExpiry ? account.Leased : 0;
  account.Arrived = 0;
  account.Waiting = 0;
  account.Peak = account.InFlight;
  return demand;
}

} // namespace bergamot::routing
