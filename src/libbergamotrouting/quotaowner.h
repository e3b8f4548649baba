#ifndef BERGAMOT_LIBBERGAMOTROUTING_QUOTAOWNER_H
#define BERGAMOT_LIBBERGAMOTROUTING_QUOTAOWNER_H

#include "libbergamotrouting/quotatypes.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace bergamot::routing {

/// Owns some client accounts and leases parts of their limits to the entries.
/// Every entry runs one; rendezvous hashing selects the owner of an account.
/// Nothing is persisted: after the loss of an owner, the limits are inexact for
/// at most one lease lifetime.
class QuotaOwner {
public:
  QuotaOwner(const VmId &self, const QuotaSettings &settings);

  /// Replaces the limits of all accounts.
  void setLimits(const std::unordered_map<AccountId, AccountLimits> &limits);

  /// Replaces the set of live entries. For an account that is newly owned here,
  /// leases granted by its previous owner may still be valid. For one lease
  /// lifetime, an entry therefore gets no more concurrency for it than it
  /// reports as leased or in use.
  void setEntries(const std::vector<VmId> &entries, TimePoint now);

  /// Answers a quota request. A duplicate gets the same answer again; an older
  /// one gets none. Accounts that aren't owned here are omitted.
  std::optional<QuotaAnswer> answer(const QuotaRequest &request, TimePoint now);

  /// Returns the number of active accounts.
  std::size_t size() const { return Accounts.size(); }

private:
  struct LeaseHolder {
    double WantedRateTokens = 0;
    std::uint32_t PeakConcurrency = 0;
    std::uint32_t InFlight = 0;
    std::uint32_t LeasedConcurrency = 0;
    std::uint32_t PreviousLeasedConcurrency = 0;
    TimePoint PreviousExpiry;
    TimePoint Expiry;
  };
  struct Account {
    double RateTokens = 0;
    TimePoint RefilledAt;
    TimePoint WithholdUntil;
    std::map<VmId, LeaseHolder> Holders;
  };
  struct EntryState {
    Incarnation EntryIncarnation;
    std::uint64_t Sequence = 0;
    QuotaAnswer LastAnswer;
  };

  bool isOwned(const AccountId &account) const;
  Account &account(const AccountId &id, const AccountLimits &limits,
                   TimePoint now);
  AccountLease lease(const VmId &entry, const QuotaDemand &demand,
                     TimePoint now);
  QuotaState stateOf(const Account &account, const AccountLimits &limits,
                     TimePoint now) const;
  double takeRateTokens(Account &account, const AccountLimits &limits,
                        const LeaseHolder &holder, double heldRateTokens) const;
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
  std::unordered_map<VmId, EntryState> EntryStates;
  TimePoint EntriesChangedAt;
  std::vector<VmId> PreviousEntries;
  TimePoint LastIdleCheck;
};

} // namespace bergamot::routing

#endif
