#include "libbergamotrouting/quotaowner.h"

#include "libbergamotrouting/rendezvous.h"

#include <algorithm>

namespace bergamot::routing {

QuotaOwner::QuotaOwner(const VmId &self, const QuotaSettings &settings)
    : Self(self), Settings(settings) {}

void QuotaOwner::setLimits(
    const std::unordered_map<AccountId, AccountLimits> &limits) {
  Limits = limits;
}

void QuotaOwner::setEntries(const std::vector<VmId> &entries, TimePoint now) {
  if (entries == Entries)
    return;
  PreviousEntries = std::move(Entries);
  Entries = entries;
  EntriesChangedAt = now;
  std::erase_if(Accounts,
                [this](const auto &it) { return !isOwned(it.first); });
  std::erase_if(EntryStates, [this](const auto &it) {
    return std::find(Entries.begin(), Entries.end(), it.first) == Entries.end();
  });
}

std::optional<QuotaAnswer> QuotaOwner::answer(const QuotaRequest &request,
                                              TimePoint now) {
  removeIdle(now);
  EntryState &entryState = EntryStates[request.Entry];
  if (request.EntryIncarnation < entryState.EntryIncarnation)
    return std::nullopt;
  if (request.EntryIncarnation > entryState.EntryIncarnation)
    entryState = {request.EntryIncarnation, 0, {}};
  if (request.Sequence < entryState.Sequence)
    return std::nullopt;
  if (request.Sequence == entryState.Sequence)
    return entryState.LastAnswer;
  entryState.Sequence = request.Sequence;
  entryState.LastAnswer = {Self, request.Sequence, {}};
  for (const auto &demand : request.Demands)
    if (Limits.contains(demand.Account) && isOwned(demand.Account))
      entryState.LastAnswer.Leases.push_back(lease(request.Entry, demand, now));
  return entryState.LastAnswer;
}

bool QuotaOwner::isOwned(const AccountId &account) const {
  return rendezvousOwner(account.Value, Entries) == Self;
}

QuotaOwner::Account &QuotaOwner::account(const AccountId &id,
                                         const AccountLimits &limits,
                                         TimePoint now) {
  const auto [it, added] = Accounts.try_emplace(id);
  Account &state = it->second;
  if (added) {
    state.RefilledAt = now;
    // After a change of owner, leases by the previous owner may use the whole
    // limit for one more lifetime. An account that was idle starts with the
    // rate tokens of a full period.
    const bool ownerChanged =
        now - EntriesChangedAt < Settings.LeaseLifetime &&
        rendezvousOwner(id.Value, PreviousEntries) != Self;
    if (ownerChanged)
      state.WithholdUntil = EntriesChangedAt + Settings.LeaseLifetime;
    else
      state.RateTokens = limits.RatePerSecond * toSeconds(Settings.Period);
  }
  const double maxRateTokens =
      limits.RatePerSecond * toSeconds(Settings.Period);
  state.RateTokens = std::min(
      maxRateTokens, state.RateTokens + limits.RatePerSecond *
                                            toSeconds(now - state.RefilledAt));
  state.RefilledAt = now;
  return state;
}

AccountLease QuotaOwner::lease(const VmId &entry, const QuotaDemand &demand,
                               TimePoint now) {
  const AccountLimits &limits = Limits.at(demand.Account);
  Account &owned = account(demand.Account, limits, now);
  LeaseHolder &holder = owned.Holders[entry];
  holder.WantedRateTokens = demand.WantedRateTokens;
  holder.PeakConcurrency = demand.PeakConcurrency;
  holder.InFlight = demand.InFlight;
  const std::uint32_t count =
      takeConcurrency(owned, limits, entry, demand, now);
  // If the entry doesn't receive this lease, it keeps using the previous one.
  if (now < holder.Expiry &&
      holder.LeasedConcurrency >= holder.PreviousLeasedConcurrency) {
    holder.PreviousLeasedConcurrency = holder.LeasedConcurrency;
    holder.PreviousExpiry = holder.Expiry;
  }
  holder.LeasedConcurrency = count;
  holder.Expiry = now + Settings.LeaseLifetime;
  return {demand.Account,
          takeRateTokens(owned, limits, holder, demand.HeldRateTokens), count,
          stateOf(owned, limits, now)};
}

QuotaState QuotaOwner::stateOf(const Account &account,
                               const AccountLimits &limits,
                               TimePoint now) const {
  if (now < account.WithholdUntil)
    return QuotaState::Withheld;
  double rateTokens = 0;
  std::uint64_t concurrency = 0;
  for (const auto &[id, holder] : account.Holders) {
    rateTokens += holder.WantedRateTokens;
    concurrency += holder.PeakConcurrency;
  }
  const bool isExhausted =
      rateTokens > limits.RatePerSecond * toSeconds(Settings.Period) ||
      concurrency > limits.Concurrency;
  return isExhausted ? QuotaState::Exhausted : QuotaState::Sufficient;
}

double QuotaOwner::takeRateTokens(Account &account, const AccountLimits &limits,
                                  const LeaseHolder &holder,
                                  double heldRateTokens) const {
  double total = 0;
  for (const auto &[id, other] : account.Holders)
    total += other.WantedRateTokens;
  const double rateTokensPerPeriod =
      limits.RatePerSecond * toSeconds(Settings.Period);
  double share = holder.WantedRateTokens;
  if (total > rateTokensPerPeriod)
    share = rateTokensPerPeriod * holder.WantedRateTokens / total;
  else
    // Rate tokens that no entry asks for are divided equally, so that a burst
    // at one entry isn't refused while the account is below its limit.
    share += std::max(0.0, (rateTokensPerPeriod - total) / entryCount() -
                               heldRateTokens);
  const double taken =
      std::clamp(share, 0.0, std::max(0.0, account.RateTokens));
  account.RateTokens -= taken;
  return taken;
}

std::uint32_t QuotaOwner::takeConcurrency(const Account &account,
                                          const AccountLimits &limits,
                                          const VmId &entry,
                                          const QuotaDemand &demand,
                                          TimePoint now) const {
  std::uint32_t others = 0;
  std::uint64_t wantedConcurrency = 0;
  for (const auto &[id, holder] : account.Holders) {
    wantedConcurrency += holder.PeakConcurrency;
    if (id == entry)
      continue;
    std::uint32_t held = holder.InFlight;
    if (now < holder.Expiry)
      held = std::max(held, holder.LeasedConcurrency);
    if (now < holder.PreviousExpiry)
      held = std::max(held, holder.PreviousLeasedConcurrency);
    others += held;
  }
  const std::uint32_t free =
      limits.Concurrency > others ? limits.Concurrency - others : 0;
  if (now < account.WithholdUntil)
    return std::min(free, std::max(demand.LeasedConcurrency, demand.InFlight));
  std::uint64_t share = demand.PeakConcurrency;
  if (wantedConcurrency > limits.Concurrency)
    share = (std::uint64_t{limits.Concurrency} * demand.PeakConcurrency +
             wantedConcurrency - 1) /
            wantedConcurrency;
  else
    share += (limits.Concurrency - wantedConcurrency) / Entries.size();
  share = std::max<std::uint64_t>(share, demand.InFlight);
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(share, free));
}

double QuotaOwner::entryCount() const {
  return static_cast<double>(std::max<std::size_t>(1, Entries.size()));
}

void QuotaOwner::removeIdle(TimePoint now) {
  if (now - LastIdleCheck < Settings.LeaseLifetime)
    return;
  LastIdleCheck = now;
  // When an entry stops reporting, its requests in flight end with its
  // connections, which are dead after 1 s. Its state is removed two lease
  // lifetimes after its last report, which is later.
  for (auto &[id, account] : Accounts)
    std::erase_if(account.Holders, [&](const auto &it) {
      return it.second.Expiry + Settings.LeaseLifetime < now;
    });
  std::erase_if(Accounts, [&](const auto &it) {
    return it.second.Holders.empty() && now >= it.second.WithholdUntil &&
           now - it.second.RefilledAt > Settings.LeaseLifetime;
  });
}

} // namespace bergamot::routing
