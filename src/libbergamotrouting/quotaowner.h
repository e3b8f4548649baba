#ifndef BERGAMOT_LIBBERGAMOTROUTING_QUOTAOWNER_H
#define BERGAMOT_LIBBERGAMOTROUTING_QUOTAOWNER_H

#include "libbergamotrouting/quotatypes.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace bergamot::routing {

/// Leases the limits of the accounts that it owns to the entries. Every entry
/// has one; rendezvous hashing names the owner of an account. It keeps nothing
/// over a restart: a lost owner costs at most the lifetime of a slice.
class QuotaOwner {
public:
  QuotaOwner(const VmId &self, const QuotaSettings &settings);

  /// Replaces the limits of all accounts.
  void setLimits(const std::unordered_map<AccountId, AccountLimits> &limits);

  /// Replaces the live entries. Accounts that become owned here may still have
  /// slices of the former owner out, so their concurrency beyond what entries
  /// report as leased is withheld for one lifetime.
  void setEntries(const std::vector<VmId> &entries, TimePoint now);

  /// Answers a request. A repeated request gets the same answer again; an
  /// older one gets none. Accounts that aren't owned here are left out.
  std::optional<QuotaSlice> answer(const QuotaRequest &request, TimePoint now);

  /// Returns the number of accounts that are in use.
  std::size_t size() const { return Accounts.size(); }

private:
  struct Holder {
    double Wanted = 0;
    std::uint32_t Peak = 0;
    std::uint32_t InFlight = 0;
    std::uint32_t Leased = 0;
    std::uint32_t FormerLeased = 0;
    TimePoint FormerExpiry;
    TimePoint Expiry;
  };
  struct Account {
    double Tokens = 0;
    TimePoint FilledAt;
    TimePoint WithholdUntil;
    std::map<VmId, Holder> Holders;
  };
  struct Entry {
    Incarnation Life;
    std::uint64_t Sequence = 0;
    QuotaSlice LastAnswer;
  };

  bool isOwned(const AccountId &account) const;
  Account &account(const AccountId &id, const AccountLimits &limits,
                   TimePoint now);
  QuotaPart lease(const VmId &entry, const QuotaDemand &demand, TimePoint now);
  QuotaState stateOf(const Account &account, const AccountLimits &limits,
                     TimePoint now) const;
  double takeTokens(Account &account, const AccountLimits &limits,
                    const Holder &holder, double held) const;
  std::uint32_t takeConcurrency(const Account &account,
                                const AccountLimits &limits, const VmId &entry,
                                const QuotaDemand &demand, TimePoint now) const;
  double entryCount() const;
  void removeIdle(TimePoint now);

  VmId Self;
  QuotaSettings Settings;
  std::vector<VmId> Entries;
  std::unordered_map<AccountId, AccountLimits> Limits;
  std::unordered_map<AccountId, Account> Accounts;
  std::unordered_map<VmId, Entry> Peers;
  TimePoint EntriesSince;
  std::vector<VmId> FormerEntries;
  TimePoint CheckedIdleAt;
};

} // namespace bergamot::routing

#endif
