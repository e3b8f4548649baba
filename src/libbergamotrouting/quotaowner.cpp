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
  std::erase_if(Peers, [this](const auto &it) {
    return std::find(Entries.begin(), Entries.end(), it.first) == Entries.end();
  });
}

std::optional<QuotaSlice> QuotaOwner::answer(const QuotaRequest &request,
                                             TimePoint now) {
  removeIdle(now);
  Entry &peer = Peers[request.Entry];
  if (request.EntryIncarnation < peer.EntryIncarnation)
    return std::nullopt;
  if (request.EntryIncarnation > peer.EntryIncarnation)
    peer = {request.EntryIncarnation, 0, {}};
  if (request.Sequence < peer.Sequence)
    return std::nullopt;
  if (request.Sequence == peer.Sequence)
    return peer.LastAnswer;
  peer.Sequence = request.Sequence;
  peer.LastAnswer = {Self, request.Sequence, {}};
  for (const auto &demand : request.Demands)
    if (Limits.contains(demand.Account) && isOwned(demand.Account))
      peer.LastAnswer.Parts.push_back(lease(request.Entry, demand, now));
  return peer.LastAnswer;
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
    // tokens of a full period.
    const bool ownerChanged =
        now - EntriesChangedAt < Settings.LeaseLifetime &&
        rendezvousOwner(id.Value, PreviousEntries) != Self;
    if (ownerChanged)
      state.WithholdUntil = EntriesChangedAt + Settings.LeaseLifetime;
    else
      state.Tokens = limits.RatePerSecond * toSeconds(Settings.Period);
  }
  const double maxTokens = limits.RatePerSecond * toSeconds(Settings.Period);
  state.Tokens =
      std::min(maxTokens, state.Tokens + limits.RatePerSecond *
                                             toSeconds(now - state.RefilledAt));
  state.RefilledAt = now;
  return state;
}

QuotaPart QuotaOwner::lease(const VmId &entry, const QuotaDemand &demand,
                            TimePoint now) {
  const AccountLimits &limits = Limits.at(demand.Account);
  Account &owned = account(demand.Account, limits, now);
  Holder &holder = owned.Holders[entry];
  holder.Wanted = demand.Wanted;
  holder.Peak = demand.Peak;
  holder.InFlight = demand.InFlight;
  const std::uint32_t count =
      takeConcurrency(owned, limits, entry, demand, now);
  // The entry may not receive this slice and keep using the previous one.
  if (now < holder.Expiry && holder.Leased >= holder.PreviousLeased) {
    holder.PreviousLeased = holder.Leased;
    holder.PreviousExpiry = holder.Expiry;
  }
  holder.Leased = count;
  holder.Expiry = now + Settings.LeaseLifetime;
  return {demand.Account, takeTokens(owned, limits, holder, demand.Held), count,
          stateOf(owned, limits, now)};
}

QuotaState QuotaOwner::stateOf(const Account &account,
                               const AccountLimits &limits,
                               TimePoint now) const {
  if (now < account.WithholdUntil)
    return QuotaState::Withheld;
  double tokens = 0;
  std::uint64_t concurrency = 0;
  for (const auto &[id, holder] : account.Holders) {
    tokens += holder.Wanted;
    concurrency += holder.Peak;
  }
  const bool isExhausted =
      tokens > limits.RatePerSecond * toSeconds(Settings.Period) ||
      concurrency > limits.Concurrency;
  return isExhausted ? QuotaState::Exhausted : QuotaState::Sufficient;
}

double QuotaOwner::takeTokens(Account &account, const AccountLimits &limits,
                              const Holder &holder, double held) const {
  double total = 0;
  for (const auto &[id, other] : account.Holders)
    total += other.Wanted;
  const double tokensPerPeriod =
      limits.RatePerSecond * toSeconds(Settings.Period);
  double share = holder.Wanted;
  if (total > tokensPerPeriod)
    share = tokensPerPeriod * holder.Wanted / total;
  else
    // Tokens that no entry requests are shared out, so that a burst at one
    // entry isn't refused while the account is below its limit.
    share += std::max(0.0, (tokensPerPeriod - total) / entryCount() - held);
  const double taken = std::clamp(share, 0.0, std::max(0.0, account.Tokens));
  account.Tokens -= taken;
  return taken;
}

std::uint32_t QuotaOwner::takeConcurrency(const Account &account,
                                          const AccountLimits &limits,
                                          const VmId &entry,
                                          const QuotaDemand &demand,
                                          TimePoint now) const {
  std::uint32_t others = 0;
  std::uint64_t wanted = 0;
  for (const auto &[id, holder] : account.Holders) {
    wanted += holder.Peak;
    if (id == entry)
      continue;
    std::uint32_t held = holder.InFlight;
    if (now < holder.Expiry)
      held = std::max(held, holder.Leased);
    if (now < holder.PreviousExpiry)
      held = std::max(held, holder.PreviousLeased);
    others += held;
  }
  const std::uint32_t free =
      limits.Concurrency > others ? limits.Concurrency - others : 0;
  if (now < account.WithholdUntil)
    return std::min(free, std::max(demand.Leased, demand.InFlight));
  std::uint64_t share = demand.Peak;
  if (wanted > limits.Concurrency)
    share =
        (std::uint64_t{limits.Concurrency} * demand.Peak + wanted - 1) / wanted;
  else
    share += (limits.Concurrency - wanted) / Entries.size();
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
  // Requests in flight at an entry that has stopped reporting end with its
  // connections, which are dead after 1 s; two lifetimes are longer.
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
