#ifndef BERGAMOT_LIBBERGAMOTROUTING_ACCOUNTLIMITER_H
#define BERGAMOT_LIBBERGAMOTROUTING_ACCOUNTLIMITER_H

#include "libbergamotrouting/quotatypes.h"

#include <map>
#include <unordered_map>

namespace bergamot::routing {

/// Decision of an AccountLimiter. Wait means that a slice has been asked for:
/// the request is held and asked about again when one arrives or after
/// RetryAfter.
struct LimitVerdict {
  enum class Kind { Admitted, Wait, Refused };

  Kind Decision = Kind::Admitted;
  Refusal Reason = Refusal::None;
  Duration RetryAfter{};
};

/// A request for quota and the entry that it goes to.
struct OutgoingQuotaRequest {
  VmId Owner;
  QuotaRequest Request;
};

/// Applies at an entry the rate and concurrency limits that each account has
/// over all entries, from slices that the account's owner leases.
class AccountLimiter {
public:
  AccountLimiter(const VmId &self, Incarnation life,
                 const QuotaSettings &settings);

  /// Replaces the limits of all accounts; use of those that stay is kept.
  void setLimits(const std::unordered_map<AccountId, AccountLimits> &limits);

  /// Replaces the live entries, which decides the owner of each account.
  void setEntries(const std::vector<VmId> &entries);

  /// Takes the cost and one place of concurrency from the account. repeated
  /// says that the same request was told to wait and a slice has arrived since.
  LimitVerdict admit(const AccountId &account, double cost, bool repeated,
                     TimePoint now);

  /// Gives back the place of an admitted request that has ended.
  void setFinished(const AccountId &account);

  /// Returns the messages that are due, at most one per owner: new requests,
  /// and unanswered ones again. Call it every UrgentAfter.
  std::vector<OutgoingQuotaRequest> dueRequests(TimePoint now);

  /// Takes an answer. Late and repeated ones change nothing.
  void addSlice(const QuotaSlice &slice, TimePoint now);

private:
  struct Account {
    AccountLimits Limits;
    VmId Owner;
    double Tokens = 0;
    TimePoint TokensExpiry;
    std::uint32_t Leased = 0;
    TimePoint LeaseExpiry;
    std::uint32_t InFlight = 0;
    std::uint32_t Waiting = 0;
    std::uint32_t Peak = 0;
    double Arrived = 0;
    double Expected = 0;
    /// Tokens of the equal split used while the owner doesn't answer.
    double SplitTokens = 0;
    TimePoint SplitAt;
    bool Active = false;
    QuotaState State = QuotaState::Sufficient;
  };
  struct Link {
    std::uint64_t Sequence = 0;
    std::uint64_t Answered = 0;
    TimePoint SentAt;
    TimePoint RepeatedAt;
    QuotaRequest Unanswered;
    /// Since when requests have gone unanswered, if Sequence > Answered.
    TimePoint UnansweredSince;
    bool Urgent = false;
    std::vector<AccountId> Active;
  };

  QuotaRequest newRequest(Link &link, TimePoint now);
  bool isSilent(const Link &link, TimePoint now) const;
  static LimitVerdict takeShortfall(const Account &account, Link &link,
                                    Refusal reason, Duration retryAfter,
                                    bool repeated);
  LimitVerdict admitBySplit(Account &account, double cost, TimePoint now) const;
  void activate(const AccountId &id, Account &account, bool urgent);
  QuotaDemand demand(const AccountId &id, Account &account, double periods,
                     TimePoint now) const;

  VmId Self;
  Incarnation Life;
  QuotaSettings Settings;
  std::vector<VmId> Entries;
  std::unordered_map<AccountId, Account> Accounts;
  std::map<VmId, Link> Links;
  std::uint64_t LastSequence = 0;
};

} // namespace bergamot::routing

#endif
