#ifndef BERGAMOT_LIBBERGAMOTROUTING_ACCOUNTLIMITER_H
#define BERGAMOT_LIBBERGAMOTROUTING_ACCOUNTLIMITER_H

#include "libbergamotrouting/quotatypes.h"

#include <map>
#include <unordered_map>

namespace bergamot::routing {

/// Result of AccountLimiter::admit(). Wait means that a lease has been
/// requested: hold the request and call admit() again when the lease arrives or
/// after RetryAfter.
struct LimitVerdict {
  enum class Kind { Admitted, Wait, Refused };

  Kind Decision = Kind::Admitted;
  Refusal Reason = Refusal::None;
  Duration RetryAfter{};
};

/// A quota request and the entry that it is sent to.
struct OutgoingQuotaRequest {
  VmId Owner;
  QuotaRequest Request;
};

/// Enforces the rate and concurrency limits of client accounts at one entry.
/// The limits apply to all entries together; the owner of an account leases
/// parts of them to the entries.
class AccountLimiter {
public:
  AccountLimiter(const VmId &self, Incarnation incarnation,
                 const QuotaSettings &settings);

  /// Replaces the limits of all accounts. Accounts that remain keep their
  /// usage.
  void setLimits(const std::unordered_map<AccountId, AccountLimits> &limits);

  /// Replaces the set of live entries, which determines the owner of each
  /// account.
  void setEntries(const std::vector<VmId> &entries);

  /// Charges the cost to the account and counts the request against its
  /// concurrency limit. leaseArrived says that the same request got Wait before
  /// and that a lease has arrived since.
  LimitVerdict admit(const AccountId &account, double cost, bool leaseArrived,
                     TimePoint now);

  /// Releases the concurrency of an admitted request that has ended.
  void onRequestFinished(const AccountId &account);

  /// Returns the messages to send now, at most one per owner: new requests and
  /// retransmissions of unanswered ones. Call it every UrgentInterval.
  std::vector<OutgoingQuotaRequest> takeDueRequests(TimePoint now);

  /// Applies an owner's answer. Late and duplicate answers are ignored.
  void applyAnswer(const QuotaAnswer &answer, TimePoint now);

private:
  struct Account {
    AccountLimits Limits;
    VmId Owner;
    double RateTokens = 0;
    TimePoint RateTokensExpiry;
    std::uint32_t LeasedConcurrency = 0;
    TimePoint LeaseExpiry;
    std::uint32_t InFlight = 0;
    std::uint32_t Waiting = 0;
    std::uint32_t PeakConcurrency = 0;
    double ArrivedCostSinceRequest = 0;
    double ExpectedCostPerPeriod = 0;
    /// Rate tokens of the equal share that the entry falls back to while the
    /// owner doesn't answer.
    double EqualShareRateTokens = 0;
    TimePoint EqualShareRefilledAt;
    bool Active = false;
    QuotaState State = QuotaState::Sufficient;
  };
  struct OwnerLink {
    std::uint64_t Sequence = 0;
    std::uint64_t LastAnswered = 0;
    TimePoint SentAt;
    TimePoint RetransmittedAt;
    QuotaRequest UnansweredRequest;
    /// Start of the time without answers, if Sequence > LastAnswered.
    TimePoint UnansweredSince;
    bool Urgent = false;
    std::vector<AccountId> ActiveAccounts;
  };

  QuotaRequest newRequest(OwnerLink &link, TimePoint now);
  bool isUnresponsive(const OwnerLink &link, TimePoint now) const;
  static LimitVerdict waitOrRefuse(const Account &account, OwnerLink &link,
                                   Refusal reason, Duration retryAfter,
                                   bool leaseArrived);
  LimitVerdict admitFromEqualShare(Account &account, double cost,
                                   TimePoint now) const;
  void activate(const AccountId &id, Account &account, bool urgent);
  QuotaDemand demand(const AccountId &id, Account &account,
                     double elapsedPeriods, TimePoint now) const;

  VmId Self;
  Incarnation EntryIncarnation;
  QuotaSettings Settings;
  std::vector<VmId> Entries;
  std::unordered_map<AccountId, Account> Accounts;
  std::map<VmId, OwnerLink> OwnerLinks;
  std::uint64_t LastSequence = 0;
};

} // namespace bergamot::routing

#endif
